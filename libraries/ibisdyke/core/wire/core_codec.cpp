#include "ibisdyke/core/wire/core_codec.h"

#include "ibisdyke/core/error.h"

#include <limits>

namespace ibisdyke::core::wire {

void to_wire(const version& value, Version& message)
{
    message.set_term(value.term);
    message.set_index(value.index);
}

version from_wire(const Version& message)
{
    return {message.term(), message.index()};
}

void to_wire(const version_interval& value, VersionInterval& message)
{
    to_wire(value.from, *message.mutable_from());
    if (value.to)
        to_wire(*value.to, *message.mutable_to());
}

version_interval from_wire(const VersionInterval& message)
{
    version_interval result;
    result.from = from_wire(message.from());
    if (message.has_to())
        result.to = from_wire(message.to());
    return result;
}

void to_wire(const endpoint& value, Endpoint& message)
{
    message.set_address(value.address);
    message.set_port(value.port);
}

endpoint from_wire(const Endpoint& message)
{
    if (message.port() > std::numeric_limits<std::uint16_t>::max())
        throw malformed_message("port " + std::to_string(message.port()) + " is out of range");
    return {message.address(), static_cast<std::uint16_t>(message.port())};
}

} // namespace ibisdyke::core::wire
