#include "ibisdyke/routing/backlog_monitor.h"

#include <chrono>
#include <utility>

namespace ibisdyke::routing {

std::optional<core::milliseconds> backlog_monitor::record_progress(core::time_point now, core::milliseconds max_wait)
{
    const auto last = std::exchange(last_progress_, now);
    if (stall_ && now - stall_->ended_at > max_backlog_time)
        stall_.reset();
    if (!last || now - *last <= max_wait + min_stall)
        return std::nullopt;
    // The thread may have been stopped while it waited, so the wait is not subtracted.
    const auto length = std::chrono::floor<core::milliseconds>(now - *last);
    stall_ = {length, now};
    return length;
}

bool backlog_monitor::is_outdated(const packet_info& packet) const
{
    const bool has_limit = packet.kind == packet_kind::syn && packet.answer_wait > core::milliseconds{0};
    return stall_ && has_limit && stall_->length > packet.answer_wait;
}

} // namespace ibisdyke::routing
