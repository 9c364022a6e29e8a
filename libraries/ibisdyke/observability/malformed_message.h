#pragma once

#include "ibisdyke/core/error.h"
#include "ibisdyke/observability/counter_sink.h"

#include <string_view>

namespace ibisdyke::observability {

/// Increments `counter` and logs a warning. Called for a message from another process that could not be decoded;
/// `counter` names the kind of message, for example "heartbeats_malformed".
void note_malformed(counter_sink& counters, std::string_view counter, const core::malformed_message& error);

} // namespace ibisdyke::observability
