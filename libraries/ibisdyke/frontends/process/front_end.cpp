#include "ibisdyke/frontends/process/front_end.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/frontends/packets/ip_packet_format.h"

namespace ibisdyke::frontends {

std::shared_ptr<const packet_format> ip_front_end::callers(const core::endpoint& return_endpoint) const
{
    return std::make_shared<const ip_packet_format>(return_endpoint);
}

configuration::route_plan ip_front_end::read_plan(const QByteArray& /*document*/) const
{
    throw core::invalid_input("front-end", "ip", "a front end whose operators write route plans as documents");
}

} // namespace ibisdyke::frontends
