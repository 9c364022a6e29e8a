#include "ibisdyke/frontends/process/front_end.h"

#include "ibisdyke/frontends/packets/ip_packet_format.h"

namespace ibisdyke::frontends {

std::shared_ptr<const packet_format> ip_front_end::callers(const core::endpoint& return_endpoint) const
{
    return std::make_shared<const ip_packet_format>(return_endpoint);
}

} // namespace ibisdyke::frontends
