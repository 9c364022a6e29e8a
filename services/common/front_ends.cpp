#include "front_ends.h"

#include "platform/front_end.h"

namespace ibisdyke {

namespace {

constexpr const char* ip = "ip";
constexpr const char* platform_name = "platform";

} // namespace

void declare_front_end(settings::settings_parser& parser)
{
    parser.add_choice("front-end", "Protocols of callers, upstreams and operators", {ip, platform_name});
}

std::unique_ptr<frontends::front_end> create_front_end(const settings::setting_values& values)
{
    if (values.text("front-end") == platform_name)
        return std::make_unique<platform::front_end>();
    return std::make_unique<frontends::ip_front_end>();
}

} // namespace ibisdyke
