#pragma once

#include "measure/trace/topology.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ibisdyke::measure {

enum class instance_kind : std::uint8_t {
    control,
    balancer,
    agent,
};

/// Returns the file name of a kind's program.
std::string program_of(instance_kind kind);

/// One daemon of the deployment.
struct instance {
    instance_kind kind = instance_kind::control;
    /// "control-N", "balancer-N" or, for an agent, "SERVICE-N".
    std::string name;
    std::uint32_t number = 0;
    /// "domain-N".
    std::string domain;
    /// Place of the agent's service in the topology.
    std::size_t service = 0;

    friend bool operator==(const instance&, const instance&) = default;
};

/// Returns all instances of a topology, control processes first, then balancers, then agents.
std::vector<instance> list_instances(const topology& it);

/// The name under which the proxy, callers' side included, knows callers and the fabric.
inline const std::string callers_name = "callers";

/// Returns the instance names that a list of a trace means: a failure domain stands for all its instances, and
/// "agent-SERVICE-N" for the agent "SERVICE-N". Throws core::invalid_input for an unknown name.
std::vector<std::string> expand_names(const std::vector<std::string>& names, const std::vector<instance>& instances);

} // namespace ibisdyke::measure
