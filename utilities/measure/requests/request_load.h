#pragma once

#include "measure/requests/request_caller.h"
#include "measure/requests/upstream_requests.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ibisdyke::measure {

/// Results of the requests, from the records of callers and upstreams.
struct request_counts {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t lost = 0;
    /// Requests with at least one attempt whose connection or stream was lost.
    std::uint64_t interrupted = 0;
    std::uint64_t told_not_run = 0;
    std::uint64_t told_may_have_run = 0;
    /// Times of the first and the last may-have-run verdict.
    core::time_point first_may_have_run;
    core::time_point last_may_have_run;
    /// Keys of non-idempotent requests that were executed more than once.
    std::uint64_t doubled = 0;
    std::uint64_t false_not_run = 0;
    std::uint64_t mixed = 0;
    std::int64_t longest_gap_ms = 0;
    /// Latencies of answered requests that are not large, in ascending order.
    std::vector<std::int64_t> latencies_ms;
    /// A line for each violated guarantee.
    std::vector<std::string> faults;

    friend bool operator==(const request_counts&, const request_counts&) = default;
};

/// Callers of requests and the request sides of all fake upstreams. Lives on a traffic thread.
class request_load {
public:
    request_load(const topology& deployment, const caller_identity& identity,
        const core::snapshot_publisher<request_endpoints>& balancers,
        const std::vector<upstream_requests_spec>& upstreams);

    void start() { caller_.start(); }
    void stop_opening() { caller_.stop_opening(); }
    void set_rate_factor(double it) { caller_.set_rate_factor(it); }
    std::size_t outstanding() const { return caller_.outstanding(); }

    upstream_requests& upstream(const std::string& name) { return *upstreams_.at(name); }

    request_counts counts() const;
    std::map<std::string, upstream_requests_counts> upstream_counts() const;

private:
    void count(const request_record& it, request_counts& result) const;

    execution_ledger ledger_;
    std::map<std::string, std::unique_ptr<upstream_requests>> upstreams_;
    request_caller caller_;
};

} // namespace ibisdyke::measure
