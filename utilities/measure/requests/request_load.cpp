#include "measure/requests/request_load.h"

#include <algorithm>

namespace ibisdyke::measure {

request_load::request_load(const topology& deployment, const caller_identity& identity,
    const core::snapshot_publisher<request_endpoints>& balancers, const std::vector<upstream_requests_spec>& upstreams)
    : caller_(deployment, identity, balancers, nullptr)
{
    for (const auto& it : upstreams) {
        const auto position =
            upstreams_.emplace(it.name, std::make_unique<upstream_requests>(it, ledger_, nullptr)).first;
        position->second->start();
    }
}

request_counts request_load::counts() const
{
    request_counts result;
    result.longest_gap_ms = caller_.longest_gap_ms();
    for (const auto& it : caller_.records())
        count(it, result);
    std::sort(result.latencies_ms.begin(), result.latencies_ms.end());
    return result;
}

std::map<std::string, upstream_requests_counts> request_load::upstream_counts() const
{
    std::map<std::string, upstream_requests_counts> result;
    for (const auto& [name, it] : upstreams_)
        result.emplace(name, it->counts());
    return result;
}

void request_load::count(const request_record& it, request_counts& result) const
{
    ++result.requests;
    const auto fault = [&](std::uint64_t& counter, const std::string& what) {
        ++counter;
        result.faults.push_back(what + ": " + it.service + " " + (it.idempotent ? "GET " : "POST ") + it.key + " after "
            + std::to_string(it.attempts) + " attempts and " + std::to_string(it.latency_ms) + " ms");
    };
    if (it.end == request_end::answered) {
        ++result.answered;
        if (!it.large)
            result.latencies_ms.push_back(it.latency_ms);
    }
    if (it.end == request_end::lost)
        fault(result.lost, "lost");
    if (it.interrupted)
        ++result.interrupted;
    if (it.end == request_end::not_run)
        ++result.told_not_run;
    if (it.end == request_end::may_have_run) {
        if (result.told_may_have_run == 0)
            result.first_may_have_run = it.ended;
        result.last_may_have_run = it.ended;
        ++result.told_may_have_run;
    }
    if (!it.idempotent && ledger_.count(it.key) > 1)
        fault(result.doubled, "executed " + std::to_string(ledger_.count(it.key)) + " times");
    if (it.wrong_answer)
        fault(result.mixed, "wrong answer");
    const auto& valid_until = it.not_run_valid_until;
    if (std::any_of(
            valid_until.begin(), valid_until.end(), [&](const auto& end) { return ledger_.ran_before(it.key, end); }))
        fault(result.false_not_run, "executed although the verdict was not-run");
}

} // namespace ibisdyke::measure
