#pragma once

#include "measure/deployment/address_plan.h"
#include "measure/deployment/instance.h"

#include <string>
#include <vector>

namespace ibisdyke::measure {

/// Creates the command-line arguments of the daemons of one deployment.
class daemon_arguments {
public:
    /// All references must outlive the object. Control process NAME stores its data in `work`/NAME.
    daemon_arguments(const topology& deployment, const std::vector<instance>& instances, const address_plan& addresses,
        std::string work, std::string bootstrap_token);

    std::vector<std::string> create(const instance& it) const;

private:
    std::vector<std::string> create_control(const instance& it) const;
    std::vector<std::string> create_balancer(const instance& it) const;
    std::vector<std::string> create_agent(const instance& it) const;
    /// Returns the advertised peer endpoints of all instances of a kind, separated by commas.
    std::string list_peer_endpoints(instance_kind kind) const;

    const topology& deployment_;
    const std::vector<instance>& instances_;
    const address_plan& addresses_;
    std::string work_;
    std::string bootstrap_token_;
};

} // namespace ibisdyke::measure
