#pragma once

#include "measure/deployment/supervisor.h"
#include "measure/flows/flow_load.h"
#include "measure/operators/operator_client.h"
#include "measure/proxy/fault_proxy.h"
#include "measure/requests/request_load.h"
#include "measure/support/worker_thread.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ibisdyke::measure {

/// The system under test as real processes, the proxy between them, and the load. Lives on the main thread; the proxy,
/// the flow load and the request load have a thread each.
class running_system {
public:
    /// Creates all parts without starting processes. Throws core::system_failure.
    running_system(const topology& deployment, const run_folders& folders);

    void start_control();
    /// Starts the balancers, the agents and their fake upstreams.
    void start_traffic_processes();

    /// Kills or starts a daemon without its fake upstream.
    void kill(const std::string& name);
    void start(const std::string& name);

    /// Apply to the fake upstream of an agent.
    void kill_upstream(const std::string& name);
    void start_upstream(const std::string& name);
    void pause_upstream(const std::string& name);
    void resume_upstream(const std::string& name);
    void begin_upstream_cold_start(const std::string& name, core::milliseconds grace);

    /// Makes the proxy refuse connections to a process that has exited.
    void close_routes(const std::string& name);

    /// Changes the links in the proxy, and the copy on this thread that links() returns.
    void change_links(const std::function<void(link_table&)>& change);
    const link_table& links() const { return links_; }

    /// Sets the balancers to which callers send traffic.
    void set_healthy_balancers(const std::vector<std::string>& balancers);

    const topology& deployment() const { return deployment_; }
    const std::vector<instance>& instances() const { return instances_; }
    const address_plan& addresses() const { return *addresses_; }
    supervisor& processes() { return processes_; }
    operator_client& operators() { return operators_; }
    worker_thread<fault_proxy>& proxy() { return *proxy_; }
    worker_thread<flow_load>& flows() { return *flows_; }
    worker_thread<request_load>& requests() { return *requests_; }

    /// The token that callers present.
    static const std::string& caller_token();

private:
    topology deployment_;
    std::vector<instance> instances_;
    std::unique_ptr<address_plan> addresses_;
    supervisor processes_;
    operator_client operators_;
    link_table links_;
    core::snapshot_publisher<balancer_endpoints> packet_balancers_;
    core::snapshot_publisher<request_endpoints> request_balancers_;
    std::unique_ptr<worker_thread<fault_proxy>> proxy_;
    std::unique_ptr<worker_thread<flow_load>> flows_;
    std::unique_ptr<worker_thread<request_load>> requests_;
};

} // namespace ibisdyke::measure
