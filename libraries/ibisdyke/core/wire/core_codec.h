#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/version.h"
#include "ibisdyke/core/version_interval.h"
#include "ibisdyke/core/wire/core.pb.h"

namespace ibisdyke::core::wire {

/// Conversions between the core types and their wire messages, which the codecs of all slices use. from_wire() throws
/// malformed_message when a value is out of range.
void to_wire(const version& value, Version& message);
version from_wire(const Version& message);

void to_wire(const version_interval& value, VersionInterval& message);
version_interval from_wire(const VersionInterval& message);

void to_wire(const endpoint& value, Endpoint& message);
endpoint from_wire(const Endpoint& message);

} // namespace ibisdyke::core::wire
