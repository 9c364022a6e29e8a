#include "measure/deployment/instance.h"

#include "ibisdyke/core/error.h"

#include <algorithm>

namespace ibisdyke::measure {

namespace {

const std::string agent_prefix = "agent-";

void add(std::vector<instance>& result, instance_kind kind, const std::string& prefix, std::uint32_t count,
    std::uint32_t domains, std::size_t service)
{
    for (std::uint32_t i = 0; i < count; ++i) {
        result.push_back({kind, prefix + "-" + std::to_string(i), i, "domain-" + std::to_string(i % domains), service});
    }
}

} // namespace

std::string program_of(instance_kind kind)
{
    switch (kind) {
    case instance_kind::control:
        return "control";
    case instance_kind::balancer:
        return "balancer";
    case instance_kind::agent:
        break;
    }
    return "agent";
}

std::vector<instance> list_instances(const topology& it)
{
    std::vector<instance> result;
    add(result, instance_kind::control, "control", it.control, it.domains, 0);
    add(result, instance_kind::balancer, "balancer", it.balancers, it.domains, 0);
    for (std::size_t i = 0; i < it.services.size(); ++i)
        add(result, instance_kind::agent, it.services[i].name, it.services[i].upstreams, it.domains, i);
    return result;
}

std::vector<std::string> expand_names(const std::vector<std::string>& names, const std::vector<instance>& instances)
{
    std::vector<std::string> result;
    for (const auto& name : names) {
        const auto before = result.size();
        const auto plain = name.rfind(agent_prefix, 0) == 0 ? name.substr(agent_prefix.size()) : name;
        for (const auto& it : instances) {
            if (it.name == plain || it.domain == name)
                result.push_back(it.name);
        }
        if (name == callers_name)
            result.push_back(name);
        if (result.size() == before)
            throw core::invalid_input("name", name, "an instance, a failure domain or \"callers\"");
    }
    return result;
}

} // namespace ibisdyke::measure
