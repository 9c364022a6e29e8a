#pragma once

#include "measure/flows/flow_caller.h"
#include "measure/flows/upstream_packets.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ibisdyke::measure {

/// Callers of flows and the packet sides of all fake upstreams. Lives on a traffic thread.
class flow_load {
public:
    flow_load(const topology& deployment, const core::endpoint& callers,
        const core::snapshot_publisher<balancer_endpoints>& balancers,
        const std::vector<upstream_packets_spec>& upstreams);

    void start() { caller_.start(); }
    void stop_opening() { caller_.stop_opening(); }
    void set_rate_factor(double it) { caller_.set_rate_factor(it); }

    upstream_packets& upstream(const std::string& name) { return *upstreams_.at(name); }

    flow_counts counts() const { return caller_.counts(); }
    std::map<std::string, upstream_packets_counts> upstream_counts() const;

private:
    fabric fabric_;
    flow_caller caller_;
    std::map<std::string, std::unique_ptr<upstream_packets>> upstreams_;
};

} // namespace ibisdyke::measure
