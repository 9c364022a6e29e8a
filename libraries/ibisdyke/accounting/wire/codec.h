#pragma once

#include "ibisdyke/accounting/usage_state.h"

#include <string>
#include <string_view>

namespace ibisdyke::accounting {

std::string encode(const usage_report& it);
std::string encode(const usage_batch& it);
std::string encode(const usage_state& it);

/// The decode functions throw core::malformed_message if the bytes are not a valid message.
usage_report decode_usage_report(std::string_view bytes);
usage_batch decode_usage_batch(std::string_view bytes);

/// Also decodes states saved by earlier versions, which kept every counter of every incarnation.
usage_state decode_usage_state(std::string_view bytes);

} // namespace ibisdyke::accounting
