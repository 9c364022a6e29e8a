#pragma once

#include "command_session.h"

namespace ibisdyke::ctl {

/// Checks the route plan in a file and, with --against, compares it with the plan in force. Sends nothing.
ctl_exit_code plan_check(command_session& session);

} // namespace ibisdyke::ctl
