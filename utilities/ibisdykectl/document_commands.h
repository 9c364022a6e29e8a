#pragma once

#include "command_session.h"

namespace ibisdyke::ctl {

/// Commands for profiles and services. The put, check and diff commands read the profile or service from a JSON file.
ctl_exit_code profile_list(command_session& session);
ctl_exit_code profile_show(command_session& session);
ctl_exit_code profile_put(command_session& session);
ctl_exit_code profile_check(command_session& session);
ctl_exit_code profile_diff(command_session& session);
ctl_exit_code profile_remove(command_session& session);
ctl_exit_code service_list(command_session& session);
ctl_exit_code service_put(command_session& session);
ctl_exit_code service_remove(command_session& session);

} // namespace ibisdyke::ctl
