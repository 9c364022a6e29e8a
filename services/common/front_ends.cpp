#include "front_ends.h"

#include "ibisdyke/core/error.h"
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

std::unique_ptr<frontends::front_end> create_front_end(const std::string& name)
{
    if (name == platform_name)
        return std::make_unique<platform::front_end>();
    if (name == ip)
        return std::make_unique<frontends::ip_front_end>();
    throw core::invalid_input("front-end", name, std::string("one of: ") + ip + ", " + platform_name);
}

std::unique_ptr<frontends::front_end> create_front_end(const settings::setting_values& values)
{
    return create_front_end(values.text("front-end"));
}

} // namespace ibisdyke
