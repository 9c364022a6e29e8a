#pragma once

#include "ibisdyke/configuration/command_history.h"
#include "ibisdyke/frontends/control/control_group.h"

#include <string>
#include <string_view>

namespace ibisdyke::frontends::wire {

/// The complete state that the commands of the control group's log produce.
struct control_state {
    dissemination::system_state_snapshot system = std::make_shared<const dissemination::system_state>();
    configuration::command_history command_history;
    configuration::plan_document plan_document;
    accounting::usage_state usage;
};

/// The decoders throw core::malformed_message.
std::string encode(const control_command& it);
control_command decode_control_command(std::string_view bytes);

std::string encode(const control_state& it);
control_state decode_control_state(std::string_view bytes);

} // namespace ibisdyke::frontends::wire
