#pragma once

#include "ibisdyke/configuration/command.h"
#include "ibisdyke/configuration/command_history.h"
#include "ibisdyke/configuration/configuration_state.h"

#include <string>
#include <string_view>

namespace ibisdyke::configuration::wire {

/// The decoders throw core::malformed_message for bytes that are not an encoded value.
std::string encode(const command& it);
command decode_command(std::string_view bytes);

std::string encode(const configuration_state& it);
configuration_state decode_configuration_state(std::string_view bytes);

std::string encode(const plan_document& it);
plan_document decode_plan_document(std::string_view bytes);

std::string encode(const command_history& it);
command_history decode_command_history(std::string_view bytes);

} // namespace ibisdyke::configuration::wire
