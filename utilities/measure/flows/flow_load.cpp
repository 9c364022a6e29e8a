#include "measure/flows/flow_load.h"

namespace ibisdyke::measure {

flow_load::flow_load(const topology& deployment, const core::endpoint& callers,
    const core::snapshot_publisher<balancer_endpoints>& balancers, const std::vector<upstream_packets_spec>& upstreams)
    : fabric_(callers, balancers, deployment.seed, nullptr)
    , caller_(deployment, fabric_, nullptr)
{
    for (const auto& it : upstreams) {
        const auto seed = deployment.seed + upstreams_.size() + 1;
        const auto position = upstreams_.emplace(it.name, std::make_unique<upstream_packets>(it, seed, nullptr)).first;
        position->second->start();
    }
}

std::map<std::string, upstream_packets_counts> flow_load::upstream_counts() const
{
    std::map<std::string, upstream_packets_counts> result;
    for (const auto& [name, it] : upstreams_)
        result.emplace(name, it->counts());
    return result;
}

} // namespace ibisdyke::measure
