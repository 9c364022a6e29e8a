#pragma once

#include "ibisdyke/replication/messages.h"

namespace ibisdyke::replication {

/// Returns the writes that make `self` the only member of its group, with the state in `stored`. For use after a
/// majority of the members was lost for good. Entries that only lost members held are lost.
///
/// `confirmed` must be the last position of the stored log, so that a setting left in place after a recovery does not
/// repeat it. Throws core::invalid_input if it is a different position, and core::system_failure if the stored group
/// does not contain `self`.
write_batch recover_alone(const stored_state& stored, core::control_id self, core::incarnation folder_incarnation,
    const core::version& confirmed);

} // namespace ibisdyke::replication
