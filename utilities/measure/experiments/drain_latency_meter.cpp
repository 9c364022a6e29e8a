#include "measure/experiments/drain_latency_meter.h"

#include "measure/support/clock.h"

#include <algorithm>

namespace ibisdyke::measure {

namespace {

void update_longest(std::optional<double>& longest, core::time_point accepted, core::time_point last)
{
    const auto ms = std::max<std::int64_t>(0, milliseconds_between(accepted, last));
    longest = std::max(longest.value_or(0), static_cast<double>(ms));
}

} // namespace

void drain_latency_meter::finish_domain(const std::string& domain)
{
    const auto found = domain_accepted_at_.find(domain);
    if (found == domain_accepted_at_.end())
        return;
    for (const auto& it : system_.instances()) {
        if (it.kind == instance_kind::agent && it.domain == domain)
            update_longest(domain_ms_, found->second, read_last_arrivals(it.name).packet);
    }
    domain_accepted_at_.erase(found);
}

void drain_latency_meter::finish_upstream_drain(const std::string& upstream)
{
    const auto found = drain_accepted_at_.find(upstream);
    if (found == drain_accepted_at_.end())
        return;
    update_longest(drain_ms_, found->second, read_last_arrivals(upstream).new_flow_or_request);
    drain_accepted_at_.erase(found);
}

void drain_latency_meter::finish_all()
{
    while (!domain_accepted_at_.empty())
        finish_domain(std::string(domain_accepted_at_.begin()->first));
    while (!drain_accepted_at_.empty())
        finish_upstream_drain(std::string(drain_accepted_at_.begin()->first));
}

drain_latency_meter::last_arrivals drain_latency_meter::read_last_arrivals(const std::string& upstream)
{
    const auto packets = system_.flows().call([&](auto& it) { return it.upstream_counts().at(upstream); });
    const auto requests = system_.requests().call([&](auto& it) { return it.upstream_counts().at(upstream); });
    return {
        std::max(packets.last_packet, requests.last_request), std::max(packets.last_new_flow, requests.last_request)};
}

} // namespace ibisdyke::measure
