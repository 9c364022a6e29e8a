#include "ibisdyke/frontends/discovery/routing_input.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace ibisdyke::frontends {

namespace {

using intervals = std::vector<core::version_interval>;

std::optional<core::version> earlier_end(const std::optional<core::version>& a, const std::optional<core::version>& b)
{
    if (!a || !b)
        return a ? a : b;
    return std::min(*a, *b);
}

intervals intersection(const intervals& a, const intervals& b)
{
    intervals result;
    for (const auto& left : a) {
        for (const auto& right : b) {
            const core::version_interval overlap{std::max(left.from, right.from), earlier_end(left.to, right.to)};
            if (!overlap.to || overlap.from < *overlap.to)
                result.push_back(overlap);
        }
    }
    return result;
}

routing::ip_protocol protocol_of(configuration::transport_protocol it)
{
    return it == configuration::transport_protocol::tcp ? routing::ip_protocol::tcp : routing::ip_protocol::udp;
}

routing::member member_of(const membership::upstream& it, const configuration::configuration_state& configuration)
{
    const auto domain = configuration.domains.find(it.domain);
    const bool recorded = domain != configuration.domains.end();
    const auto state = recorded ? domain->second.state : configuration::domain_state::in;
    const bool in = state == configuration::domain_state::in;
    routing::member result;
    result.target = {it.id, it.packet_endpoint, it.request_endpoint, it.agent};
    result.eligible = in && membership::is_eligible(it.state);
    result.reachable = state != configuration::domain_state::out && it.state != membership::upstream_state::gone;
    result.flow_watermark = it.flow_watermark;
    result.exact_since = it.history_exact_since;
    // A failure domain without recorded changes has no history and has always been in service.
    const bool always_in = !recorded || (in && domain->second.history.empty());
    result.history = always_in ? it.history : intersection(it.history, domain->second.history);
    return result;
}

} // namespace

routing::route_set flow_routes(const configuration::configuration_state& configuration)
{
    routing::route_set result;
    for (const auto& [key, it] : configuration.routes) {
        const routing::public_address address{it.address.address, protocol_of(it.address.protocol)};
        if (it.withdrawn_at) {
            result.withdrawn.push_back(address);
            continue;
        }
        routing::flow_route route{address, {}, it.former_targets, it.latency_target, it.priority};
        for (const auto& target : it.targets)
            route.targets.push_back({target.service, target.weight});
        result.routes.push_back(std::move(route));
    }
    return result;
}

std::vector<routing::service_members> routing_input(const dissemination::system_state& state)
{
    std::map<core::service_id, routing::service_members> services;
    for (const auto& [id, it] : state.configuration.services) {
        auto& service = services[id];
        service.id = id;
        service.name = it.name;
        for (const auto& address : it.addresses)
            service.addresses.push_back({address.address, protocol_of(address.protocol)});
    }
    for (const auto& [id, it] : state.membership.upstreams) {
        const auto service = services.find(it.service);
        if (service != services.end())
            service->second.members.push_back(member_of(it, state.configuration));
    }
    std::vector<routing::service_members> result;
    result.reserve(services.size());
    for (auto& [id, it] : services)
        result.push_back(std::move(it));
    return result;
}

} // namespace ibisdyke::frontends
