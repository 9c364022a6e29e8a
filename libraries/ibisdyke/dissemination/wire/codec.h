#pragma once

#include "ibisdyke/dissemination/messages.h"

#include <string>
#include <string_view>

namespace ibisdyke::dissemination::wire {

/// The decoders throw core::malformed_message for bytes that are not an encoded value.
std::string encode(const system_state& value);
system_state decode_system_state(std::string_view bytes);

std::string encode(const delta& value);
delta decode_delta(std::string_view bytes);

std::string encode(const subscribe_request& value);
subscribe_request decode_subscribe_request(std::string_view bytes);

/// A snapshot in an encoded message must not be null. A decoded snapshot is never null.
std::string encode(const subscription_message& value);
subscription_message decode_subscription_message(std::string_view bytes);

} // namespace ibisdyke::dissemination::wire
