#pragma once

#include "ibisdyke/requests/messages.h"

#include <string>
#include <string_view>

namespace ibisdyke::requests {

std::string encode(const lookup_query& it);
std::string encode(const lookup_answer& it);

/// Decode messages of peers. Throw core::malformed_message if a message is damaged or incomplete.
lookup_query decode_lookup_query(std::string_view bytes);
lookup_answer decode_lookup_answer(std::string_view bytes);

} // namespace ibisdyke::requests
