#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/snapshot_publisher.h"
#include "ibisdyke/transport/http2_client.h"
#include "measure/requests/request_record.h"
#include "measure/trace/topology.h"

#include <QObject>
#include <QTimer>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace ibisdyke::measure {

/// Request endpoints of the healthy balancers.
using request_endpoints = std::vector<core::endpoint>;

/// Source address and token of the callers of a run.
struct caller_identity {
    /// Source address of all connections, in host byte order.
    std::uint32_t address = 0;
    std::string token;

    friend bool operator==(const caller_identity&, const caller_identity&) = default;
};

/// Sends requests at the topology's rate, each to a random healthy balancer. A request that was rejected because of an
/// overload (503), or whose connection or stream was refused or lost, is sent again with the same key until its
/// deadline.
class request_caller : public QObject {
public:
    /// `balancers` must outlive the object.
    request_caller(const topology& deployment, caller_identity identity,
        const core::snapshot_publisher<request_endpoints>& balancers, QObject* parent);
    ~request_caller() override;
    request_caller(const request_caller&) = delete;
    request_caller& operator=(const request_caller&) = delete;
    request_caller(request_caller&&) = delete;
    request_caller& operator=(request_caller&&) = delete;

    void start();
    /// Opens no more requests; outstanding requests continue.
    void stop_opening() { opens_new_requests_ = false; }
    /// Opens new requests at this multiple of the topology's rate from now on.
    void set_rate_factor(double it) { rate_factor_ = it; }
    std::size_t outstanding() const { return requests_.size(); }

    const std::vector<request_record>& records() const { return records_; }
    std::uint64_t sent() const { return next_id_; }
    std::int64_t longest_gap_ms() const { return longest_gap_ms_; }

private:
    class attempt;
    friend class attempt;

    struct request;

    void tick();
    void open_request(core::time_point now);
    void send(request& it, core::time_point now);
    void end_attempt(std::uint64_t id, request_end result, bool final, bool wrong_answer);
    void finish(request& it, request_end end, core::time_point now);
    void update_longest_gap(core::time_point now);
    transport::http2_client* pick_balancer();

    const topology deployment_;
    caller_identity identity_;
    const core::snapshot_publisher<request_endpoints>& balancers_;
    std::mt19937_64 random_;
    QTimer timer_;
    bool opens_new_requests_ = true;
    double rate_factor_ = 1;
    core::time_point last_tick_;
    double due_requests_ = 0;
    std::uint64_t next_id_ = 0;
    std::map<std::uint64_t, std::unique_ptr<request>> requests_;
    std::map<core::endpoint, std::unique_ptr<transport::http2_client>> clients_;
    std::vector<request_record> records_;
    /// Begin of the present interval in which requests are outstanding and none is answered.
    std::optional<core::time_point> unanswered_since_;
    std::int64_t longest_gap_ms_ = 0;
};

} // namespace ibisdyke::measure
