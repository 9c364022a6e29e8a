#include "measure/deployment/address_plan.h"

#include "ibisdyke/core/error.h"

#include <QHostAddress>

namespace ibisdyke::measure {

namespace {

constexpr std::uint32_t loopback = 127U << 24U;
// The second octet identifies the range of a run: an even value for processes, the next odd value for the proxy.
constexpr std::uint32_t first_range_octet = 20;
constexpr std::uint32_t last_range_octet = 220;
constexpr std::uint16_t claim_port = 6999;

// The third octet identifies the kind of process; each service has its own value for agents and for upstreams.
constexpr std::uint32_t balancer_octet = 1;
constexpr std::uint32_t control_octet = 2;
constexpr std::uint32_t callers_octet = 9;
constexpr std::uint32_t first_agent_octet = 10;
constexpr std::uint32_t first_upstream_octet = 60;

constexpr std::uint32_t first_service_address = 10U << 24U;
constexpr std::uint16_t service_port = 443;

core::endpoint make_endpoint(std::uint32_t range, std::uint32_t kind, std::uint32_t number, port_kind port)
{
    return {loopback | (range << 16U) | (kind << 8U) | (number + 1), static_cast<std::uint16_t>(port)};
}

std::uint32_t kind_octet(const instance& it)
{
    switch (it.kind) {
    case instance_kind::control:
        return control_octet;
    case instance_kind::balancer:
        return balancer_octet;
    case instance_kind::agent:
        break;
    }
    return first_agent_octet + static_cast<std::uint32_t>(it.service);
}

} // namespace

std::unique_ptr<address_plan> address_plan::claim()
{
    for (auto range = first_range_octet; range < last_range_octet; range += 2) {
        std::unique_ptr<address_plan> it(new address_plan);
        it->range_ = range;
        if (it->claim_.listen(QHostAddress(loopback | (range << 16U) | 1U), claim_port))
            return it;
    }
    throw core::system_failure("all loopback address ranges are in use by other runs");
}

core::endpoint address_plan::real(const instance& it, port_kind port) const
{
    return make_endpoint(range_, kind_octet(it), it.number, port);
}

core::endpoint address_plan::advertised(const instance& it, port_kind port) const
{
    return make_endpoint(range_ + 1, kind_octet(it), it.number, port);
}

core::endpoint address_plan::upstream(const instance& agent, port_kind port) const
{
    return make_endpoint(range_, first_upstream_octet + static_cast<std::uint32_t>(agent.service), agent.number, port);
}

core::endpoint address_plan::callers() const
{
    return make_endpoint(range_, callers_octet, 0, port_kind::caller_packets);
}

core::endpoint address_plan::advertised_callers() const
{
    return make_endpoint(range_ + 1, callers_octet, 0, port_kind::caller_packets);
}

core::endpoint address_plan::service_address(std::size_t service)
{
    return {first_service_address + 1 + static_cast<std::uint32_t>(service), service_port};
}

} // namespace ibisdyke::measure
