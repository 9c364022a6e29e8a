#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/settings/settings_parser.h"

#include <string>
#include <vector>

namespace ibisdyke::frontends {

/// Declares --peer-port.
void declare_peer_port(settings::settings_parser& parser);

/// Returns the peer endpoints of the control processes in the setting `flag`. --peer-port, if given, replaces their
/// ports, because some platforms list the control processes with a port other than their peer port.
std::vector<core::endpoint> peer_endpoints(const settings::setting_values& values, const std::string& flag);

} // namespace ibisdyke::frontends
