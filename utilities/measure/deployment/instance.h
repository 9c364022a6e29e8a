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

/// Returns the file name of the program that runs instances of a kind.
std::string program_of(instance_kind kind);

/// One daemon of the deployment.
struct instance {
    instance_kind kind = instance_kind::control;
    /// "control-N", "balancer-N" or, for an agent, "SERVICE-N".
    std::string name;
    std::uint32_t number = 0;
    /// "domain-N".
    std::string domain;
    /// Index of the agent's service in the topology.
    std::size_t service = 0;

    friend bool operator==(const instance&, const instance&) = default;
};

/// Returns all instances of a topology: control processes, then balancers, then agents.
std::vector<instance> list_instances(const topology& it);

/// The name for callers and the fabric in the proxy's link table and routes.
inline const std::string callers_name = "callers";

/// Resolves the names in a list of a trace to instance names. A failure domain stands for all its instances, and
/// "agent-SERVICE-N" for the agent "SERVICE-N". Throws core::invalid_input for an unknown name.
std::vector<std::string> expand_names(const std::vector<std::string>& names, const std::vector<instance>& instances);

} // namespace ibisdyke::measure
