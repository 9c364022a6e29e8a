#include "agent_process.h"

#include "ibisdyke/observability/log.h"
#include "ibisdyke/transport/clock.h"

#include <utility>

// The upstream of agent_process: its presence, its record and its restarts.

namespace ibisdyke::agent {

void agent_process::on_announcement(const membership::announcement& it)
{
    if (!presence_->on_announcement(it, transport::read_clock())) {
        runtime_.counters().add("upstream_announcements_old", 1);
        return;
    }
    runtime_.counters().add("upstream_announcements", 1);
    slots_ = it.slots;
    check_upstream_restart();
    start_heartbeats();
    // A process that replaces this one compares its upstream's run with the recorded one.
    if (std::exchange(reported_run_, upstream_incarnation()) != upstream_incarnation() && heartbeats_started_)
        heartbeats_->send_now();
    update_presence();
}

void agent_process::on_leave(const std::string& id)
{
    presence_->on_departure(id, transport::read_clock());
    if (presence_->is_departure_undecided()) {
        runtime_.counters().add("departures_undecided", 1);
        observability::write_log(observability::log_level::info, "departure_undecided", {{"id", id}});
    }
    update_presence();
}

/// Publishes the agent snapshot, then logs and reports a change of the upstream's presence. The announcement is
/// answered only after this function has returned, so the packet thread has the new snapshot by then.
void agent_process::update_presence()
{
    const auto now = transport::read_clock();
    presence_->update(now);
    publish_agent_snapshot();
    const auto state = presence_->state(now);
    if (state == std::exchange(reported_presence_, state))
        return;
    const auto& latest = presence_->latest();
    observability::write_log(observability::log_level::info, "upstream_state",
        {{"state", membership::to_string(state)}, {"id", latest ? latest->id : ""},
            {"born_ms", latest ? latest->started_at_ms : 0}, {"sequence", latest ? latest->sequence : 0},
            {"slots", slots_}});
    if (heartbeats_started_)
        heartbeats_->send_now();
}

void agent_process::start_heartbeats()
{
    // The agent announces the upstream only after the first state has arrived, because that state shows whether an
    // earlier process announced this upstream. If one did, its record must not expire before the upstream's next
    // announcement: balancers and other agents would no longer look for its open flows.
    const bool upstream_present =
        !presence_ || presence_->state(transport::read_clock()) != membership::presence::absent;
    if (first_state_version_ && upstream_present && !std::exchange(heartbeats_started_, true))
        heartbeats_->start();
}

bool agent_process::has_upstream_left(core::time_point now) const
{
    return presence_ && presence_->state(now) == membership::presence::left;
}

bool agent_process::is_upstream_ready(core::time_point now) const
{
    return !presence_ || presence_->state(now) == membership::presence::ready;
}

/// Whether the upstream takes new flows, or did by its record and has not announced itself to this process yet.
bool agent_process::is_upstream_available(core::time_point now) const
{
    if (is_upstream_ready(now))
        return true;
    return presence_->state(now) == membership::presence::recorded && !presence_->is_draining(now);
}

void agent_process::set_own_id(const core::upstream_id& id)
{
    const bool is_new_id = id_ != id;
    id_ = id;
    id_confirmed_ = find_own_upstream() != nullptr;
    const bool was_restarted = std::exchange(process_restarted_, is_restart_of(id));
    if (presence_)
        presence_->set_has_predecessor(process_restarted_);
    check_upstream_restart();
    if (is_new_id || process_restarted_ != was_restarted)
        observability::write_log(observability::log_level::info,
            process_restarted_ ? "upstream_resumed" : "upstream_joined", {{"upstream", id.value()}});
    publish_identity();
}

core::incarnation agent_process::upstream_incarnation() const
{
    // An upstream cannot start twice within the same millisecond, so its start time identifies the incarnation.
    return presence_ ? core::incarnation(presence_->run_started_at_ms()) : core::incarnation{};
}

/// Tells the presence what an earlier process of this agent has reported. Once the record names this process, it says
/// what this process has reported itself.
void agent_process::read_own_record()
{
    const auto* const self = find_own_upstream();
    if (!presence_ || self == nullptr || self->agent == runtime_.identity().incarnation)
        return;
    presence_->on_record(
        {self->incarnation.value(), self->state == membership::upstream_state::draining}, transport::read_clock());
    if (!presence_->latest())
        slots_ = self->slots;
}

/// Checks, once after a restart of this process, whether the upstream has restarted too. Its flows are then lost, and
/// the agent must not adopt them, unless the upstream returns packets of flows that it does not hold. The record still
/// contains the incarnation that the earlier process reported, because this process reports the current one only after
/// the comparison.
void agent_process::check_upstream_restart()
{
    const auto* const self = find_own_upstream();
    const auto current = upstream_incarnation();
    if (!process_restarted_ || upstream_run_checked_ || self == nullptr || !presence_ || !presence_->latest())
        return;
    upstream_run_checked_ = true;
    if (self->incarnation == core::incarnation{} || self->incarnation == current)
        return;
    upstream_restarted_ = true;
    observability::write_log(observability::log_level::info, "upstream_restarted",
        {{"recorded", self->incarnation.value()}, {"present", current.value()}});
}

/// The first state may be older than the record of the upstream: a control process that has just started serves what it
/// had recorded as committed. The record itself is therefore checked as well, as soon as a state contains it.
bool agent_process::is_restart_of(const core::upstream_id& id) const
{
    const auto* const self = find_own_upstream();
    const bool announced_earlier =
        self != nullptr && membership::was_announced_earlier(*self, runtime_.identity().incarnation);
    return announced_earlier || (first_state_version_ && core::join_record_index(id) <= first_state_version_->index);
}

const membership::upstream* agent_process::find_own_upstream() const
{
    const auto state = states_.load();
    if (!state || !id_)
        return nullptr;
    const auto it = state->membership.upstreams.find(*id_);
    return it == state->membership.upstreams.end() ? nullptr : &it->second;
}

} // namespace ibisdyke::agent
