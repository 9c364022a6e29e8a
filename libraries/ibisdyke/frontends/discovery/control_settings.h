#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/settings/settings_parser.h"

#include <string>
#include <vector>

namespace ibisdyke::frontends {

/// Declares --peer-port.
void declare_peer_port(settings::settings_parser& parser);

/// Returns the peer endpoints of the control processes in the setting `flag`. --peer-port, if given, replaces the ports
/// in the setting, because some platforms list another port of the control processes.
std::vector<core::endpoint> peer_endpoints(const settings::setting_values& values, const std::string& flag);

} // namespace ibisdyke::frontends
