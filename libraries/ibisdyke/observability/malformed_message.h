#pragma once

#include "ibisdyke/core/error.h"
#include "ibisdyke/observability/counter_sink.h"

#include <string_view>

namespace ibisdyke::observability {

/// Counts a message of another process that could not be read, under the counter that says what it was, and writes a
/// line.
void note_malformed(counter_sink& counters, std::string_view counter, const core::malformed_message& why);

} // namespace ibisdyke::observability
