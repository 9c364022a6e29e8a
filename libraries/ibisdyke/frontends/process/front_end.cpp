#include "ibisdyke/frontends/process/front_end.h"

#include "ibisdyke/frontends/packets/ip_packet_format.h"

namespace ibisdyke::frontends {

std::shared_ptr<const packet_format> ip_front_end::callers(const core::endpoint& caller_return) const
{
    return std::make_shared<const ip_packet_format>(caller_return);
}

} // namespace ibisdyke::frontends
