#pragma once

#include "ibisdyke/membership/membership_state.h"
#include "ibisdyke/membership/wire/membership.pb.h"

namespace ibisdyke::membership::wire {

/// Conversions that the codecs of the membership and dissemination slices share. from_wire() throws
/// core::malformed_message if a value is out of range.
void to_wire(const upstream& value, Upstream& message);
upstream from_wire(const Upstream& message);

void to_wire(const membership_state& value, MembershipState& message);
membership_state from_wire(const MembershipState& message);

} // namespace ibisdyke::membership::wire
