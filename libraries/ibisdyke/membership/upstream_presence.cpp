#include "ibisdyke/membership/upstream_presence.h"

#include <algorithm>
#include <utility>

namespace ibisdyke::membership {

namespace {

constexpr std::size_t max_replaced_runs = 64;

/// The announcements, some time apart, that show that a run lives.
constexpr std::size_t announcements_of_live_run = 2;

/// The same for a run with an earlier start time than one that has left or that an earlier process of the agent has
/// reported. Such a run is most likely a former one, two of whose announcements were held up for different times.
constexpr std::size_t announcements_of_unlikely_run = 3;

upstream_run run_of(const announcement& it)
{
    return {it.id, it.started_at_ms};
}

} // namespace

std::string_view to_string(presence it)
{
    switch (it) {
    case presence::ready:
        return "ready";
    case presence::draining:
        return "draining";
    case presence::left:
        return "left";
    case presence::recorded:
        return "recorded";
    case presence::absent:
        break;
    }
    return "absent";
}

upstream_presence::upstream_presence(std::string service, const core::endpoint& address, core::milliseconds period)
    : service_(std::move(service))
    , address_(address)
    , period_(period)
    , current_run_evidence_(period / 2)
    , earlier_run_evidence_(period / 2)
{
}

bool upstream_presence::on_announcement(const announcement& it, core::time_point now)
{
    if (it.service != service_ || it.address != address_)
        return false;
    if (is_current_run(it)) {
        if (!continues_run(it, now))
            return false;
    } else {
        if (!may_begin_run(it, now))
            return false;
        begin_run(it);
        current_run_evidence_.add(run_of(it), it.sequence, now);
    }
    latest_ = it;
    last_announcement_at_ = now;
    cold_until_ = now + it.cold_start_remaining;
    return true;
}

bool upstream_presence::is_current_run(const announcement& it) const
{
    return latest_ && run_of(*latest_) == run_of(it);
}

bool upstream_presence::continues_run(const announcement& it, core::time_point now)
{
    if (it.sequence <= latest_->sequence)
        return false;
    if (!has_left_ && !undecided_departure_)
        return true;
    if (has_left_ && departure_is_certain_)
        return false;
    const bool lives = current_run_evidence_.add(run_of(it), it.sequence, now) >= announcements_of_live_run;
    if (has_left_ && !lives)
        return false;
    if (std::exchange(has_left_, false))
        undecided_departure_ = departure_notice{it.id, now};
    // A draining upstream stops in any case, so the notice stays until its announcements end.
    if (lives && !it.draining)
        undecided_departure_.reset();
    return true;
}

bool upstream_presence::may_begin_run(const announcement& it, core::time_point now)
{
    if (std::find(replaced_runs_.begin(), replaced_runs_.end(), run_of(it)) != replaced_runs_.end())
        return false;
    if (latest_ ? it.started_at_ms > latest_->started_at_ms : !may_be_late(it))
        return true;
    // The recorded run drains, or has been silent. This process knows none of its sequence numbers.
    if (!latest_ && it.started_at_ms == record_->started_at_ms)
        return current_run_evidence_.add(run_of(it), it.sequence, now) >= announcements_of_live_run;
    // The upstream's clock may have been set back between two runs, so an earlier start time alone does not make an
    // announcement late. Such a run begins if it lives and the current run does not.
    const auto count = earlier_run_evidence_.add(run_of(it), it.sequence, now);
    if (has_left_ || undecided_departure_ || !latest_)
        return count >= announcements_of_unlikely_run;
    return count >= announcements_of_live_run && now - last_announcement_at_ > max_silence();
}

void upstream_presence::begin_run(const announcement& it)
{
    if (latest_)
        replaced_runs_.push_back(run_of(*latest_));
    if (replaced_runs_.size() > max_replaced_runs)
        replaced_runs_.erase(replaced_runs_.begin());
    // A notice that came before the first announcement may be of this run.
    if (latest_ || (undecided_departure_ && undecided_departure_->id != it.id))
        undecided_departure_.reset();
    ++run_count_;
    has_left_ = false;
    current_run_evidence_.reset();
    earlier_run_evidence_.reset();
}

void upstream_presence::on_departure(const std::string& id, core::time_point now)
{
    if (has_left_ || (latest_ && latest_->id != id))
        return;
    if (latest_ && !may_have_former_run(id)) {
        has_left_ = true;
        departure_is_certain_ = true;
        return;
    }
    if (undecided_departure_ && undecided_departure_->id == id)
        return;
    undecided_departure_ = departure_notice{id, now};
    current_run_evidence_.reset();
}

bool upstream_presence::may_have_former_run(const std::string& id) const
{
    return has_predecessor_
        || std::any_of(replaced_runs_.begin(), replaced_runs_.end(), [&id](const auto& it) { return it.id == id; });
}

void upstream_presence::on_record(const recorded_upstream& it, core::time_point now)
{
    if (it.started_at_ms == 0 || record_ == it)
        return;
    record_ = it;
    record_read_at_ = now;
    if (!latest_ || !may_be_late(*latest_))
        return;
    // What came before the record counts as it would have counted after it.
    const auto first = *std::exchange(latest_, std::nullopt);
    has_left_ = false;
    current_run_evidence_.reset();
    earlier_run_evidence_.reset();
    static_cast<void>(may_begin_run(first, now));
}

/// Whether an announcement may have been sent before the recorded one.
bool upstream_presence::may_be_late(const announcement& it) const
{
    if (!record_)
        return false;
    const bool is_recorded_run = it.started_at_ms == record_->started_at_ms;
    return it.started_at_ms < record_->started_at_ms || (is_recorded_run && record_->draining && !it.draining);
}

void upstream_presence::update(core::time_point now)
{
    if (!last_update_at_ || now - *last_update_at_ > period_ / 2)
        last_pause_at_ = now;
    last_update_at_ = now;
    if (!undecided_departure_)
        return;
    const auto silent_since = std::max({last_announcement_at_, undecided_departure_->received_at, last_pause_at_});
    if (now - silent_since <= max_silence())
        return;
    has_left_ = true;
    departure_is_certain_ = false;
    undecided_departure_.reset();
    current_run_evidence_.reset();
}

presence upstream_presence::state(core::time_point now) const
{
    if (has_left_)
        return presence::left;
    const auto last_sign = latest_ ? last_announcement_at_ : record_read_at_;
    if ((!latest_ && !record_) || now - last_sign > max_missed_announcements * period_)
        return presence::absent;
    if (undecided_departure_)
        return presence::draining;
    if (!latest_)
        return presence::recorded;
    return latest_->draining ? presence::draining : presence::ready;
}

bool upstream_presence::is_draining(core::time_point now) const
{
    const auto current = state(now);
    return current == presence::draining || (current == presence::recorded && record_->draining);
}

std::uint64_t upstream_presence::run_started_at_ms() const
{
    if (latest_)
        return latest_->started_at_ms;
    return record_ ? record_->started_at_ms : 0;
}

} // namespace ibisdyke::membership
