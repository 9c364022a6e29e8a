#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/membership/liveness_evidence.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibisdyke::membership {

/// The state that an upstream announces periodically to the agent on its host.
struct announcement {
    /// Chosen by the upstream, which may keep it across restarts.
    std::string id;
    /// When the upstream started, by its own clock, in milliseconds since the Unix epoch. Distinguishes two runs with
    /// the same id.
    std::uint64_t started_at_ms = 0;
    /// Sequence number, which increases with each announcement of a run.
    std::uint64_t sequence = 0;
    std::string service;
    core::endpoint address;
    /// The number of requests that the upstream can serve at the same time.
    std::uint32_t slots = 1;
    /// The upstream accepts no new flows, keeps its open flows and will stop.
    bool draining = false;
    /// The remaining time of the upstream's cold start.
    core::milliseconds cold_start_remaining{0};

    friend bool operator==(const announcement&, const announcement&) = default;
};

/// Whether an upstream accepts new flows. Only a `ready` upstream does.
enum class presence : std::uint8_t {
    /// No announcement was received yet, or none for some time.
    absent,
    /// No announcement was received yet since a restart of the agent, which has read the record of the upstream that
    /// its
    /// earlier process announced. The upstream keeps its open flows.
    recorded,
    ready,
    draining,
    /// The upstream has announced that it stopped.
    left,
};

/// Returns "absent", "recorded", "ready", "draining" or "left".
std::string_view to_string(presence it);

/// What the record of the upstream says that an earlier process of the agent has announced.
struct recorded_upstream {
    /// The start time of the run.
    std::uint64_t started_at_ms = 0;
    bool draining = false;

    friend bool operator==(const recorded_upstream&, const recorded_upstream&) = default;
};

/// Tracks the upstream on an agent's host by its announcements. Used by the control thread.
///
/// The upstream restarts on its host, at times under the same id, and messages of its former runs may arrive at any
/// later time. An announcement names its run, so a former one is recognised. A departure notice names only the id:
/// where a former run may have sent it, it takes effect when the upstream then falls silent, and is discarded when the
/// upstream goes on announcing that it is ready.
class upstream_presence {
public:
    /// An upstream gets no new flows after it was silent for longer than this many announcement periods.
    static constexpr int max_missed_announcements = 3;

    /// Tracks an upstream of `service` that receives packets at `address` and announces itself once per `period`.
    upstream_presence(std::string service, const core::endpoint& address, core::milliseconds period);

    /// Processes an announcement and returns true, or returns false and ignores it if it is late, belongs to a former
    /// run, or names another service or address.
    bool on_announcement(const announcement& it, core::time_point now);

    /// Processes the notice that the upstream with this id has stopped. Ignored if it is not the current upstream.
    void on_departure(const std::string& id, core::time_point now);

    /// Sets whether an earlier process of the agent has tracked the upstream. If so, the upstream may have had runs
    /// that this process does not know. Until the first call this is assumed.
    void set_has_predecessor(bool it) { has_predecessor_ = it; }

    /// Processes the record of the run that an earlier process of the agent has reported last. Announcements of runs
    /// that started before are late, also if one of them was the first that this process received.
    void on_record(const recorded_upstream& it, core::time_point now);

    /// Decides about a departure notice. Called once per tick of the agent. A longer time between two calls means that
    /// the process was paused, and that announcements which arrived meanwhile are still to be read.
    void update(core::time_point now);

    presence state(core::time_point now) const;

    /// Whether the upstream drains, or is recorded as draining while it has not announced itself to this process.
    bool is_draining(core::time_point now) const;

    /// Whether a departure notice may be of a former run, and no silence or announcement has decided it yet.
    bool is_departure_undecided() const { return undecided_departure_.has_value(); }

    /// The longest time that the decision about a departure notice takes if the upstream has stopped.
    core::milliseconds max_silence() const { return period_ + period_ / 2; }

    /// The last announcement of the current run, if any.
    const std::optional<announcement>& latest() const { return latest_; }

    /// The start time of the current run, or of the recorded one while the upstream has not announced itself to this
    /// process; 0 if there is neither.
    std::uint64_t run_started_at_ms() const;

    /// When the cold start of the upstream ends.
    core::time_point cold_until() const { return cold_until_; }

    /// When the last accepted announcement was received.
    core::time_point last_announcement_at() const { return last_announcement_at_; }

    /// The number of runs of the upstream so far. What an earlier run held, such as its flows, is lost.
    std::uint64_t run_count() const { return run_count_; }

private:
    struct departure_notice {
        std::string id;
        core::time_point received_at;
    };

    bool is_current_run(const announcement& it) const;
    bool may_be_late(const announcement& it) const;
    bool may_begin_run(const announcement& it, core::time_point now);
    bool continues_run(const announcement& it, core::time_point now);
    void begin_run(const announcement& it);
    /// Whether the upstream may have had an earlier run with this id.
    bool may_have_former_run(const std::string& id) const;

    std::string service_;
    core::endpoint address_;
    core::milliseconds period_;
    std::optional<announcement> latest_;
    /// Runs that a later run has replaced, oldest first. Bounded.
    std::vector<upstream_run> replaced_runs_;
    std::optional<recorded_upstream> record_;
    core::time_point record_read_at_{};
    bool has_predecessor_ = true;
    bool has_left_ = false;
    /// Whether the departure notice was certainly of the current run.
    bool departure_is_certain_ = false;
    std::optional<departure_notice> undecided_departure_;
    /// Announcements of the current run since a departure notice.
    liveness_evidence current_run_evidence_;
    /// Announcements of a run with an earlier start time than the current one.
    liveness_evidence earlier_run_evidence_;
    core::time_point last_announcement_at_{};
    std::optional<core::time_point> last_update_at_;
    core::time_point last_pause_at_{};
    core::time_point cold_until_{};
    std::uint64_t run_count_ = 0;
};

} // namespace ibisdyke::membership
