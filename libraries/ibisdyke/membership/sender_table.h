#pragma once

#include "ibisdyke/configuration/configuration_state.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/membership/lease_batch.h"
#include "ibisdyke/membership/membership_state.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace ibisdyke::membership {

struct sender_limits {
    core::milliseconds batch_period{500};
    /// A sender whose last heartbeat is older is reported as stale, with the age. The heartbeat period of 500 ms plus
    /// 100 ms of delay.
    core::milliseconds max_fresh_age{600};
    /// A sender that was silent for this long is removed from the list. Equal to lease_limits::lease_duration.
    core::milliseconds lease_duration{2000};
    /// When the leader has accepted no batch for this long, the follower answers `no_leader`, so that its senders reach
    /// another control process before their leases expire.
    core::milliseconds leader_timeout{1000};
    /// Further senders get the answer `no_leader`. The design size has 10,700 senders.
    std::size_t max_senders = 16'384;

    friend bool operator==(const sender_limits&, const sender_limits&) = default;
};

/// The senders of a control follower. Answers their heartbeats and renews their leases at the leader in batches. Makes
/// no decisions about membership.
class sender_table {
public:
    sender_table(const core::incarnation& self, const sender_limits& limits, core::time_point now);

    /// Sets the state after the last applied record.
    void update(const configuration::configuration_state& configuration, const membership_state& membership,
        const core::version& latest);

    /// Processes a heartbeat. Returns the answer to it, or nothing if the leader has not accepted a batch with this
    /// sender yet.
    std::optional<heartbeat_answer> on_heartbeat(const heartbeat& it, core::time_point now);

    /// Returns the answer for a sender, or nothing, under the same condition as on_heartbeat().
    std::optional<heartbeat_answer> find_answer(const core::incarnation& sender, core::time_point now) const;

    /// Whether a batch is due: once per period, and at once when a sender is new, when it changed in a field that is
    /// not part of sender_status, or when the leader needs another batch.
    bool is_due(core::time_point now) const { return is_urgent_ || now - last_batch_at_ >= limits_.batch_period; }

    /// Returns the next batch.
    lease_batch make_batch(core::time_point now);

    /// Processes the answer to the batch with this number.
    void on_answer(std::uint64_t number, const lease_batch_answer& it, core::time_point now);

    /// Makes the next batch a full report and clears all answers of the leader. Called when the leader changes or does
    /// not have the base of a batch.
    void reset_leader(core::time_point now);

    std::size_t size() const { return senders_.size(); }

private:
    struct entry {
        heartbeat last;
        core::time_point received_at;
        /// The number of the first batch that must hold the whole heartbeat.
        std::uint64_t full_since_batch = 0;
        /// The number of the first batch that must hold the current sender_status.
        std::uint64_t status_since_batch = 0;
        /// Whether the leader has accepted a batch with the sender.
        bool is_confirmed = false;
        heartbeat_result result = heartbeat_result::accepted;
    };

    void store_heartbeat(entry& known, const heartbeat& it, core::time_point now);
    heartbeat_answer make_no_leader_answer() const;
    void remove_expired(core::time_point now);

    core::incarnation self_;
    sender_limits limits_;
    std::unordered_map<core::incarnation, entry> senders_;
    /// Removed senders, with the number of the first batch that reports the removal.
    std::map<core::incarnation, std::uint64_t> removed_;
    std::uint64_t next_number_ = 1;
    /// The number of the last batch that the leader has accepted, or 0 if the next batch must be a full report.
    std::uint64_t acknowledged_ = 0;
    /// The newest timestamp of the leader, to echo in the next batch.
    std::uint64_t leader_timestamp_ = 0;
    bool is_urgent_ = false;
    core::time_point last_batch_at_;
    /// When the leader last accepted a batch, or when this follower began with this leader.
    core::time_point last_accepted_at_;
    core::version latest_;
    /// Upstream ids by service and name.
    std::map<std::pair<std::string, std::string>, core::upstream_id> upstream_ids_;
    /// Mean numbers of open flows by service.
    std::unordered_map<std::string, double> mean_open_flows_;
};

} // namespace ibisdyke::membership
