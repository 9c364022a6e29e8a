#include "ibisdyke/frontends/discovery/control_settings.h"

namespace ibisdyke::frontends {

namespace {

constexpr std::uint64_t max_port = 65'535;

} // namespace

void declare_peer_port(settings::settings_parser& parser)
{
    parser.add_number("peer-port",
        "Peer port of the control processes, if the settings list their endpoints with another port", 0, 0, max_port);
}

std::vector<core::endpoint> peer_endpoints(const settings::setting_values& values, const std::string& flag)
{
    auto result = values.endpoints(flag);
    const auto port = static_cast<std::uint16_t>(values.number("peer-port"));
    for (auto& it : result) {
        if (port != 0)
            it.port = port;
    }
    return result;
}

} // namespace ibisdyke::frontends
