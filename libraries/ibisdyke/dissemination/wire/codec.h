#pragma once

#include "ibisdyke/dissemination/messages.h"

#include <cstdint>
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

/// Whether deltas of more than about 1 KB are compressed. Only subscribers with reads_compressed_deltas can read that.
enum class delta_compression : std::uint8_t {
    none,
    large_deltas,
};

/// A snapshot in an encoded message must not be null. A decoded snapshot is never null.
std::string encode(const subscription_message& value, delta_compression compression = delta_compression::none);
subscription_message decode_subscription_message(std::string_view bytes);

} // namespace ibisdyke::dissemination::wire
