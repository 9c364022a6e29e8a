#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/settings/settings_parser.h"

#include <string>
#include <vector>

namespace ibisdyke::frontends {

/// Declares --peer-port.
void declare_peer_port(settings::settings_parser& parser);

/// Returns the peer endpoints of the control processes that a setting lists: with the port of --peer-port, when that is
/// given, because some platforms list another port of these processes.
std::vector<core::endpoint> peer_endpoints(const settings::setting_values& values, const std::string& flag);

} // namespace ibisdyke::frontends
