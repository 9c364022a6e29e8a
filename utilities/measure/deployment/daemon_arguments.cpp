#include "measure/deployment/daemon_arguments.h"

#include "ibisdyke/routing/flow_table.h"

#include <utility>

namespace ibisdyke::measure {

daemon_arguments::daemon_arguments(const topology& deployment, const std::vector<instance>& instances,
    const address_plan& addresses, std::string work, std::string bootstrap_token)
    : deployment_(deployment)
    , instances_(instances)
    , addresses_(addresses)
    , work_(std::move(work))
    , bootstrap_token_(std::move(bootstrap_token))
{
}

std::vector<std::string> daemon_arguments::create(const instance& it) const
{
    switch (it.kind) {
    case instance_kind::control:
        return create_control(it);
    case instance_kind::balancer:
        return create_balancer(it);
    case instance_kind::agent:
        break;
    }
    return create_agent(it);
}

std::vector<std::string> daemon_arguments::create_control(const instance& it) const
{
    std::string peers;
    for (const auto& peer : instances_) {
        if (peer.kind != instance_kind::control)
            continue;
        peers += peers.empty() ? "" : ",";
        peers += std::to_string(peer.number + 1) + "=" + to_string(addresses_.advertised(peer, port_kind::peer)) + "/"
            + to_string(addresses_.advertised(peer, port_kind::admin));
    }
    return {"--id=" + std::to_string(it.number + 1), "--name=" + it.name, "--data=" + work_ + "/" + it.name,
        "--failure-domain=" + it.domain, "--peers=" + peers,
        "--listen-peer=" + to_string(addresses_.real(it, port_kind::peer)),
        "--advertise-peer=" + to_string(addresses_.advertised(it, port_kind::peer)),
        "--listen-admin=" + to_string(addresses_.real(it, port_kind::admin)),
        "--advertise-admin=" + to_string(addresses_.advertised(it, port_kind::admin)),
        "--source-address=" + core::address_to_string(addresses_.real(it, port_kind::peer).address),
        "--bootstrap-token=" + bootstrap_token_};
}

std::vector<std::string> daemon_arguments::create_balancer(const instance& it) const
{
    return {"--name=" + it.name, "--failure-domain=" + it.domain,
        "--control=" + list_peer_endpoints(instance_kind::control),
        "--peers=" + list_peer_endpoints(instance_kind::balancer),
        "--listen-packets=" + to_string(addresses_.real(it, port_kind::packets)),
        "--advertise-packets=" + to_string(addresses_.advertised(it, port_kind::packets)),
        "--listen-requests=" + to_string(addresses_.real(it, port_kind::requests)),
        "--listen-peer=" + to_string(addresses_.real(it, port_kind::peer)),
        "--advertise-peer=" + to_string(addresses_.advertised(it, port_kind::peer)),
        "--listen-admin=" + to_string(addresses_.real(it, port_kind::admin)),
        "--source-address=" + core::address_to_string(addresses_.real(it, port_kind::peer).address),
        "--router=" + deployment_.router, "--attempt-selector=" + deployment_.attempt_selector};
}

std::vector<std::string> daemon_arguments::create_agent(const instance& it) const
{
    const auto& service = deployment_.services[it.service];
    const auto max_flows =
        deployment_.max_flows == 0 ? routing::flow_limits{}.max_entries : std::size_t{deployment_.max_flows};
    return {"--name=" + it.name, "--service=" + service.name, "--failure-domain=" + it.domain,
        "--slots=" + std::to_string(service.slots), "--max-flows=" + std::to_string(max_flows),
        "--control=" + list_peer_endpoints(instance_kind::control),
        "--peers=" + list_peer_endpoints(instance_kind::balancer),
        "--listen-packets=" + to_string(addresses_.real(it, port_kind::packets)),
        "--advertise-packets=" + to_string(addresses_.advertised(it, port_kind::packets)),
        "--listen-requests=" + to_string(addresses_.real(it, port_kind::requests)),
        "--advertise-requests=" + to_string(addresses_.advertised(it, port_kind::requests)),
        "--listen-admin=" + to_string(addresses_.real(it, port_kind::admin)),
        "--upstream-packets=" + to_string(addresses_.upstream(it, port_kind::upstream_packets)),
        "--upstream-requests=" + to_string(addresses_.upstream(it, port_kind::upstream_requests)),
        "--return-packets=" + to_string(addresses_.advertised_callers()),
        "--source-address=" + core::address_to_string(addresses_.real(it, port_kind::packets).address)};
}

std::string daemon_arguments::list_peer_endpoints(instance_kind kind) const
{
    std::string result;
    for (const auto& it : instances_) {
        if (it.kind != kind)
            continue;
        result += result.empty() ? "" : ",";
        result += to_string(addresses_.advertised(it, port_kind::peer));
    }
    return result;
}

} // namespace ibisdyke::measure
