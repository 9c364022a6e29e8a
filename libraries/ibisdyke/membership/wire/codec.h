#pragma once

#include "ibisdyke/membership/lease_batch.h"
#include "ibisdyke/membership/membership_change.h"
#include "ibisdyke/membership/membership_state.h"
#include "ibisdyke/membership/messages.h"

#include <string>
#include <string_view>

namespace ibisdyke::membership::wire {

/// Each decode function throws core::malformed_message if the bytes are not a valid encoding of its type.
std::string encode(const heartbeat& value);
heartbeat decode_heartbeat(std::string_view bytes);

std::string encode(const heartbeat_answer& value);
heartbeat_answer decode_heartbeat_answer(std::string_view bytes);

std::string encode(const lease_batch& value);
lease_batch decode_lease_batch(std::string_view bytes);

std::string encode(const lease_batch_answer& value);
lease_batch_answer decode_lease_batch_answer(std::string_view bytes);

std::string encode(const membership_change& value);
membership_change decode_membership_change(std::string_view bytes);

std::string encode(const membership_state& value);
membership_state decode_membership_state(std::string_view bytes);

} // namespace ibisdyke::membership::wire
