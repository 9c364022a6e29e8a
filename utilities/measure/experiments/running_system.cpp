#include "measure/experiments/running_system.h"

#include <utility>

namespace ibisdyke::measure {

namespace {

const std::string bootstrap_token = "measure-administrator";

std::vector<route> list_routes(const std::vector<instance>& instances, const address_plan& addresses)
{
    std::vector<route> result;
    const auto add = [&](const instance& it, route_kind kind, port_kind port) {
        result.push_back({kind, it.name, addresses.advertised(it, port), addresses.real(it, port), std::nullopt});
    };
    result.push_back(
        {route_kind::datagrams, callers_name, addresses.advertised_callers(), addresses.callers(), std::nullopt});
    for (const auto& it : instances) {
        switch (it.kind) {
        case instance_kind::control:
            add(it, route_kind::control, port_kind::peer);
            add(it, route_kind::traffic, port_kind::admin);
            break;
        case instance_kind::balancer:
            add(it, route_kind::control, port_kind::peer);
            add(it, route_kind::traffic, port_kind::requests);
            add(it, route_kind::datagrams, port_kind::packets);
            break;
        case instance_kind::agent:
            add(it, route_kind::traffic, port_kind::requests);
            add(it, route_kind::datagrams, port_kind::packets);
            result.back().service = address_plan::service_address(it.service);
            break;
        }
    }
    return result;
}

std::map<std::uint32_t, std::string> list_names(const std::vector<instance>& instances, const address_plan& addresses)
{
    std::map<std::uint32_t, std::string> result{{addresses.callers().address, callers_name}};
    for (const auto& it : instances)
        result.emplace(addresses.real(it, port_kind::peer).address, it.name);
    // An upstream sends to callers from its own address. In the proxy it has the same name as its agent.
    for (const auto& it : instances) {
        if (it.kind == instance_kind::agent)
            result.emplace(addresses.upstream(it, port_kind::upstream_packets).address, it.name);
    }
    return result;
}

link_table create_links(const topology& deployment, const std::vector<instance>& instances)
{
    std::map<std::string, std::string> domains;
    for (const auto& it : instances)
        domains.emplace(it.name, it.domain);
    return {std::move(domains), deployment.domain_delay, deployment.client_delay};
}

std::vector<core::endpoint> list_admin(const std::vector<instance>& instances, const address_plan& addresses)
{
    std::vector<core::endpoint> result;
    for (const auto& it : instances) {
        if (it.kind == instance_kind::control)
            result.push_back(addresses.advertised(it, port_kind::admin));
    }
    return result;
}

std::vector<upstream_packets_spec> list_packet_upstreams(
    const topology& deployment, const std::vector<instance>& instances, const address_plan& addresses)
{
    std::vector<upstream_packets_spec> result;
    for (const auto& it : instances) {
        if (it.kind != instance_kind::agent)
            continue;
        const auto& service = deployment.services[it.service];
        result.push_back({it.name, service.name, address_plan::service_address(it.service),
            addresses.upstream(it, port_kind::upstream_packets), addresses.advertised_callers(),
            service.new_flows_per_s, service.cold_share, service.cold_ramp});
    }
    return result;
}

std::vector<upstream_requests_spec> list_request_upstreams(
    const topology& deployment, const std::vector<instance>& instances, const address_plan& addresses)
{
    std::vector<upstream_requests_spec> result;
    for (const auto& it : instances) {
        if (it.kind != instance_kind::agent)
            continue;
        const auto& service = deployment.services[it.service];
        result.push_back({it.name, service.name, addresses.upstream(it, port_kind::upstream_requests), service.slots,
            service.cold_share, service.cold_ramp});
    }
    return result;
}

} // namespace

running_system::running_system(const topology& deployment, const run_folders& folders)
    : deployment_(deployment)
    , instances_(list_instances(deployment))
    , addresses_(address_plan::claim())
    , processes_(deployment_, instances_, *addresses_, folders, bootstrap_token, nullptr)
    , operators_(list_admin(instances_, *addresses_), bootstrap_token, nullptr)
    , links_(create_links(deployment_, instances_))
{
    proxy_ = std::make_unique<worker_thread<fault_proxy>>([this] {
        return std::make_unique<fault_proxy>(
            list_routes(instances_, *addresses_), list_names(instances_, *addresses_), links_, deployment_.seed);
    });
    flows_ = std::make_unique<worker_thread<flow_load>>([this] {
        return std::make_unique<flow_load>(deployment_, addresses_->callers(), packet_balancers_,
            list_packet_upstreams(deployment_, instances_, *addresses_));
    });
    requests_ = std::make_unique<worker_thread<request_load>>([this] {
        return std::make_unique<request_load>(deployment_,
            caller_identity{addresses_->callers().address, caller_token()}, request_balancers_,
            list_request_upstreams(deployment_, instances_, *addresses_));
    });
}

const std::string& running_system::caller_token()
{
    static const std::string token = "measure-caller";
    return token;
}

void running_system::start_control()
{
    for (const auto& it : instances_) {
        if (it.kind == instance_kind::control)
            start(it.name);
    }
}

void running_system::start_traffic_processes()
{
    for (const auto& it : instances_) {
        if (it.kind == instance_kind::control)
            continue;
        if (it.kind == instance_kind::agent)
            start_upstream(it.name);
        start(it.name);
    }
}

void running_system::kill(const std::string& name)
{
    processes_.process(name).kill();
    close_routes(name);
}

void running_system::start(const std::string& name)
{
    processes_.process(name).start();
    proxy_->post([name](auto& it) { it.open(name); });
}

void running_system::kill_upstream(const std::string& name)
{
    flows_->call([&](auto& it) { it.upstream(name).stop(); });
    requests_->call([&](auto& it) { it.upstream(name).stop(); });
}

void running_system::start_upstream(const std::string& name)
{
    flows_->call([&](auto& it) { it.upstream(name).start(); });
    requests_->call([&](auto& it) { it.upstream(name).start(); });
}

void running_system::pause_upstream(const std::string& name)
{
    flows_->call([&](auto& it) { it.upstream(name).pause(); });
    requests_->call([&](auto& it) { it.upstream(name).pause(); });
}

void running_system::resume_upstream(const std::string& name)
{
    flows_->call([&](auto& it) { it.upstream(name).resume(); });
    requests_->call([&](auto& it) { it.upstream(name).resume(); });
}

void running_system::begin_upstream_cold_start(const std::string& name, core::milliseconds grace)
{
    flows_->call([&](auto& it) { it.upstream(name).begin_cold_start(grace); });
    requests_->call([&](auto& it) { it.upstream(name).begin_cold_start(grace); });
}

void running_system::close_routes(const std::string& name)
{
    // Waits until the listeners are closed. A process that is started before would inherit them until it calls exec,
    // and the proxy could not listen on the same endpoints again.
    proxy_->call([&](auto& it) { it.close(name); });
}

void running_system::change_links(const std::function<void(link_table&)>& change)
{
    change(links_);
    proxy_->call([&](auto& it) { it.change(change); });
}

void running_system::set_healthy_balancers(const std::vector<std::string>& balancers)
{
    balancer_endpoints packets;
    request_endpoints requests;
    for (const auto& name : balancers) {
        const auto& it = processes_.find(name);
        packets.push_back(addresses_->advertised(it, port_kind::packets));
        requests.push_back(addresses_->advertised(it, port_kind::requests));
    }
    packet_balancers_.publish(std::make_shared<const balancer_endpoints>(std::move(packets)));
    request_balancers_.publish(std::make_shared<const request_endpoints>(std::move(requests)));
}

} // namespace ibisdyke::measure
