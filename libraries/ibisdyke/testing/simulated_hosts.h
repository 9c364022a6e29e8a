#pragma once

#include "ibisdyke/routing/flow_agent.h"
#include "ibisdyke/routing/router.h"
#include "ibisdyke/routing/routing_table.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <utility>
#include <vector>

namespace ibisdyke::testing {

/// The final decision on a packet and where it was made.
struct packet_outcome {
    routing::packet_action action = routing::packet_action::drop;
    routing::packet_reason reason = routing::packet_reason::none;
    core::upstream_id at;
    /// How many agents the packet visited.
    std::uint32_t visits = 0;
};

/// Simulates the hosts of one service in memory and in virtual time, with the decision code of the real agents. Packets
/// and members are passed without sockets, so that a test controls every version and time.
class simulated_hosts {
public:
    static constexpr std::uint32_t address = 0x0a010101;
    static constexpr std::uint16_t port = 443;

    explicit simulated_hosts(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            add_host();
    }

    /// Adds an upstream that is eligible for new flows from the next version on.
    core::upstream_id add_host()
    {
        current_version.index += 1;
        routing::member added;
        added.target.id = core::make_upstream_id(current_version.index, 0);
        added.target.packet_endpoint = {0x7f000001, static_cast<std::uint16_t>(members.size() + 1)};
        added.eligible = true;
        added.history = {{current_version, std::nullopt}};
        members.push_back(added);
        agents.emplace(added.target.id, make_agent());
        return added.target.id;
    }

    routing::member& find(const core::upstream_id& id)
    {
        for (auto& it : members) {
            if (it.target.id == id)
                return it;
        }
        throw std::out_of_range("no such host");
    }

    /// Creates a new version from which on the upstream is not eligible for new flows.
    void end_eligibility(const core::upstream_id& id)
    {
        current_version.index += 1;
        auto& it = find(id);
        it.eligible = false;
        it.history.back().to = current_version;
    }

    /// Creates a new version from which on the upstream is eligible for new flows again.
    void begin_eligibility(const core::upstream_id& id)
    {
        current_version.index += 1;
        auto& it = find(id);
        it.eligible = true;
        it.history.push_back({current_version, std::nullopt});
    }

    /// Restarts the agent, which loses its flow table.
    void restart(const core::upstream_id& id)
    {
        agents.at(id) = make_agent();
        recovering_until[id] = now + std::chrono::seconds(60);
    }

    /// Returns the routing table of the current version.
    std::shared_ptr<const routing::routing_table> make_table() const
    {
        routing::service_members all{service, "service", members, {}};
        routing::route_set routes;
        for (const auto& [route_port, priority] : route_priorities) {
            for (const auto protocol : {routing::ip_protocol::tcp, routing::ip_protocol::udp})
                routes.routes.push_back(
                    {{{address, route_port}, protocol}, {{service, 1}}, {}, latency_target, priority});
        }
        return routing::routing_table::create(current_version, {all}, nullptr, routes);
    }

    /// Gives all agents the table of the current version and the current mean of open flows.
    void update_agents() { update_agents(make_table()); }

    /// Gives all agents the table `next` and the current mean of open flows.
    void update_agents(std::shared_ptr<const routing::routing_table> next)
    {
        table = std::move(next);
        update_mean();
    }

    /// Gives all agents the current mean of open flows per eligible upstream, as heartbeat answers do.
    void update_mean()
    {
        std::size_t flows = 0;
        std::size_t eligible = 0;
        for (const auto& it : members) {
            flows += it.eligible ? agents.at(it.target.id)->flows().active_flows() : 0;
            eligible += it.eligible ? 1 : 0;
        }
        mean_open_flows = eligible == 0 ? 0 : static_cast<double>(flows) / static_cast<double>(eligible);
    }

    routing::agent_snapshot snapshot_of(const core::upstream_id& id) const
    {
        routing::agent_snapshot result;
        result.self = id;
        result.service = service;
        const auto late = table_overrides.find(id);
        const auto& known = late == table_overrides.end() ? table : late->second;
        result.applied = known ? known->at() : core::version{};
        result.members = known ? known->find_service(service) : nullptr;
        result.table = known;
        result.upstream_returns_packets = upstreams_return_packets;
        result.table_current_until = table_current_until;
        result.domain_out_of_service = domains_out.contains(id);
        if (const auto it = admission.find(id); it != admission.end())
            result.admission = it->second;
        result.admission.mean_open_flows = mean_open_flows;
        if (const auto it = recovering_until.find(id); it != recovering_until.end())
            result.recovering_until = it->second;
        return result;
    }

    /// Returns the packet header that a balancer with the table `from` sends.
    static routing::packet_header header(const routing::forwarding_table& from, const routing::route& route)
    {
        routing::packet_header result;
        result.table = from.chains->at();
        result.service = service;
        result.phase = route.phase;
        result.candidates = static_cast<std::uint32_t>(route.members->candidates);
        for (const auto& it : route.members->members)
            result.chain.push_back({it.id, it.packet_endpoint});
        return result;
    }

    /// Forwards the packet from agent to agent until an agent makes a final decision, or the next agent does not exist.
    packet_outcome forward_until_decided(const routing::packet_info& packet, routing::packet_header header)
    {
        for (std::uint32_t visits = 1;; ++visits) {
            const auto id = header.chain[header.position].id;
            const auto agent = agents.find(id);
            if (agent == agents.end())
                return {routing::packet_action::drop, routing::packet_reason::none, id, visits};
            auto decision = agent->second->decide(packet, header, snapshot_of(id), now);
            if (decision.action != routing::packet_action::forward)
                return {decision.action, decision.reason, id, visits};
            header = *std::move(decision.next);
        }
    }

    /// Returns the header that a balancer with the table `by` sends with the packet.
    static routing::packet_header make_header(const routing::packet_info& packet, const routing::routing_table& by,
        routing::search_phase phase = routing::search_phase::find)
    {
        const auto* const chain = by.find_chain(service, routing::bucket_of_flow(packet.flow));
        routing::packet_header result;
        result.table = by.at();
        result.service = service;
        result.phase = phase;
        result.candidates = static_cast<std::uint32_t>(chain->candidates);
        for (const auto& it : chain->members)
            result.chain.push_back({it.id, it.packet_endpoint});
        return result;
    }

    /// Sends a packet along the chain of its flow in the table `by`, as a balancer with this table does.
    packet_outcome send(const routing::packet_info& packet, const std::shared_ptr<const routing::routing_table>& by,
        routing::search_phase phase = routing::search_phase::find)
    {
        return forward_until_decided(packet, make_header(packet, *by, phase));
    }

    static routing::packet_info packet(std::uint32_t caller, routing::packet_kind kind)
    {
        routing::packet_info result;
        result.flow.source_address = 0x0b000000 + caller / 1000;
        result.flow.source_port = static_cast<std::uint16_t>(10'000 + caller % 1000);
        result.flow.destination_address = address;
        result.flow.destination_port = port;
        result.flow.protocol =
            kind == routing::packet_kind::datagram ? routing::ip_protocol::udp : routing::ip_protocol::tcp;
        result.kind = kind;
        result.size_bytes = 40;
        return result;
    }

    static inline const core::service_id service{7};

    core::version current_version{1, 0};
    core::time_point now{std::chrono::hours(1)};
    std::vector<routing::member> members;
    std::map<core::upstream_id, std::unique_ptr<routing::flow_agent>> agents;
    std::map<core::upstream_id, routing::flow_admission_limits> admission;
    std::map<core::upstream_id, core::time_point> recovering_until;
    double mean_open_flows = 0;
    /// Whether the upstreams return packets of flows that they do not hold.
    bool upstreams_return_packets = false;
    /// The value of agent_snapshot::table_current_until for all agents.
    core::time_point table_current_until{};
    /// The service's latency target; 0 when it has none.
    core::milliseconds latency_target{0};
    /// Port and priority of each route to the service.
    std::map<std::uint16_t, std::uint32_t> route_priorities{{port, 0}};
    /// The table of all agents that are not in `table_overrides`.
    std::shared_ptr<const routing::routing_table> table;
    /// The tables of agents that do not use `table`.
    std::map<core::upstream_id, std::shared_ptr<const routing::routing_table>> table_overrides;
    /// Agents whose snapshot has agent_snapshot::domain_out_of_service set.
    std::set<core::upstream_id> domains_out;

private:
    static std::unique_ptr<routing::flow_agent> make_agent()
    {
        constexpr double extensions_per_second = 100;
        return std::make_unique<routing::flow_agent>(
            routing::flow_limits{}, extensions_per_second, routing::rejection_limits{});
    }
};

} // namespace ibisdyke::testing
