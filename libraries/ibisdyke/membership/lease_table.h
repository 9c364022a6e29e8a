#pragma once

#include "ibisdyke/configuration/configuration_state.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/core/version.h"
#include "ibisdyke/membership/membership_change.h"
#include "ibisdyke/membership/membership_state.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ibisdyke::membership {

/// Durations and limits of the lease table.
struct lease_limits {
    /// The lease duration: a process that sends no heartbeat for this long counts as dead. Four heartbeat periods, so
    /// that a lost heartbeat does no harm.
    core::milliseconds lease_duration{2000};
    /// The grace period: no lease expires for this long after the table was created. The lease duration plus the time
    /// to elect a leader.
    core::milliseconds grace_period{3000};
    /// A longer gap between two calls of tick() means that this process was paused. The grace period then begins again,
    /// because heartbeats that arrived during the pause are still in socket buffers.
    core::milliseconds pause_threshold{500};
    /// The mass-expiry limit applies to the removals within a window of this length.
    core::milliseconds mass_expiry_window{10'000};
    /// An upstream that became gone `flap_count` times within `flap_window` takes no new flows until `flap_hold_off`
    /// after the last time. It is recorded meanwhile, because it may hold open flows.
    core::milliseconds flap_window{60'000};
    std::size_t flap_count = 3;
    core::milliseconds flap_hold_off{10'000};
    /// The record of a gone upstream is kept as long as agents keep idempotency records.
    core::milliseconds gone_record_retention{900'000};
    /// Flow watermarks of a new incarnation are not recorded for this long, so the eligibility history is not pruned: a
    /// restarted agent does not know its flows until it has adopted them.
    core::milliseconds prune_delay{90'000};
    /// The minimum time from any record that holds flow watermarks to one that is written only for them. Records of
    /// other changes hold watermarks too and are not delayed.
    core::milliseconds watermark_interval{60'000};
    /// Used instead of watermark_interval when only one more record may be written for flow watermarks alone until the
    /// next change of eligibility. Longer, so that this record covers also the agents whose flows end late.
    core::milliseconds last_watermark_interval{600'000};
    /// The minimum time from a change of eligibility to a record that is written only for flow watermarks. Watermarks
    /// lag 10 s behind the versions that agents apply. After this time the watermarks of all agents without older flows
    /// are past the change, so one record covers these agents.
    core::milliseconds watermark_delay{15'000};

    friend bool operator==(const lease_limits&, const lease_limits&) = default;
};

/// A live process as reported by its last heartbeat, for rollouts and the state dump.
struct process_status {
    std::string name;
    process_role role = process_role::agent;
    core::failure_domain domain;
    core::incarnation incarnation;
    /// The version of the system state that the process has applied.
    core::version applied;

    friend bool operator==(const process_status&, const process_status&) = default;
};

/// The leases of all agents and balancers. Soft state of the leader, created when a process becomes the leader and
/// destroyed when it stops being the leader. Heartbeats renew leases; propose() returns the log record that brings the
/// replicated state in line with them.
class lease_table {
public:
    lease_table(const lease_limits& limits, core::time_point now);

    /// Sets the state after the last applied record, which has version `latest`. Neither pointer may be null.
    void update(std::shared_ptr<const configuration::configuration_state> configuration,
        std::shared_ptr<const membership_state> membership, const core::version& latest, core::time_point now);

    /// Processes a heartbeat that its sender sent to the leader, and returns the answer.
    heartbeat_answer on_heartbeat(const heartbeat& it, core::time_point now);

    /// Processes the last heartbeat of a sender as reported by a follower, which received it at `received_at`. A
    /// repeated report of the same sequence number renews the lease up to `received_at`, whereas a repeated heartbeat
    /// of on_heartbeat() renews nothing. A report takes over the lease of another live incarnation only with a higher
    /// sequence number, because the list of a follower may hold an incarnation for up to one lease duration after it
    /// was replaced. A report that is as old as a lease lasts has no effect.
    heartbeat_answer on_reported_heartbeat(const heartbeat& it, core::time_point received_at, core::time_point now);

    /// Sets the members of the control group and their peer endpoints, which propose() compares with the recorded ones.
    void set_controls(std::map<core::control_id, core::endpoint> members) { controls_ = std::move(members); }

    /// Detects pauses of this process, drops expired leases and updates the means of open flows. Called ten times a
    /// second, also while a proposed record is not committed yet.
    void tick(core::time_point now);

    /// Returns the record to append, or nothing if the recorded state matches the leases. The caller appends one record
    /// at a time and calls update() with the resulting state before it calls propose() again.
    std::optional<membership_change> propose(core::time_point now, core::wall_time wall_now) const;

    /// Whether the grace period is over, so that every live process has had time to send a heartbeat.
    bool is_settled(core::time_point now) const { return now >= grace_end_; }

    /// Returns the processes that sent a heartbeat within the lease duration, including those that are not registered.
    std::vector<process_status> processes(core::time_point now) const;

private:
    /// Agents are identified by service and name, balancers by service 0 and name.
    using process_key = std::pair<core::service_id, std::string>;

    struct process_key_hash {
        std::size_t operator()(const process_key& it) const noexcept;
    };

    struct lease {
        heartbeat last;
        core::time_point first_seen;
        core::time_point renewed_at;
    };

    using time_points = std::deque<core::time_point>;

    std::optional<process_key> key_of(const heartbeat& it) const;
    const upstream* find_upstream(const process_key& key) const;
    bool has_live_lease(const process_key& key, core::time_point now) const;
    bool is_live(const lease& it, core::time_point now) const { return now - it.renewed_at < limits_.lease_duration; }
    enum class heartbeat_source {
        sender,
        follower,
    };

    /// A heartbeat, the process that the leader got it from, and when the sender's control process received it.
    struct received_heartbeat {
        const heartbeat& message;
        heartbeat_source source = heartbeat_source::sender;
        core::time_point received_at;
    };

    heartbeat_answer process_heartbeat(const received_heartbeat& received, core::time_point now);
    heartbeat_result accept(const process_key& key, const received_heartbeat& received, core::time_point now);
    heartbeat_result renew(
        lease& known, const process_key& key, const received_heartbeat& received, core::time_point now);
    bool may_be_outdated(const process_key& key, const heartbeat& it) const;
    bool may_take_over(const process_key& key, const heartbeat& it, core::time_point now) const;
    bool endpoint_is_in_use(const process_key& key, const core::endpoint& address, core::time_point now) const;
    bool is_in_hold_off(const upstream& known, core::time_point now) const;
    double mass_expiry_limit(const core::service_id& service) const;
    std::size_t count_removable(const core::service_id& service, core::time_point now) const;

    void propose_live_upstream(const process_key& key, const lease& it, core::time_point now, membership_change& change,
        std::vector<upstream_update>& watermarks) const;
    void propose_relay(const std::string& name, const lease& it, membership_change& change) const;
    void propose_expired(core::time_point now, membership_change& change) const;
    void propose_controls(membership_change& change) const;
    void propose_removed_relays(core::time_point now, membership_change& change) const;
    void propose_forgotten(core::wall_time wall_now, membership_change& change) const;

    core::version new_watermark(const upstream& known, const lease& it, core::time_point now) const;
    bool watermark_record_is_due(core::time_point now) const;

    void track_removals(const membership_state& next, core::time_point now);
    void track_watermark_records(const membership_state& before, core::time_point now);
    void index_state();
    void index_eligibility_changes();
    void drop_expired(core::time_point now);
    void compute_means(core::time_point now);

    lease_limits limits_;
    std::map<core::control_id, core::endpoint> controls_;
    core::time_point grace_end_;
    core::time_point last_tick_;
    std::shared_ptr<const configuration::configuration_state> configuration_;
    std::shared_ptr<const membership_state> membership_;
    core::version latest_;

    std::unordered_map<std::string, core::service_id> service_ids_;
    std::unordered_map<process_key, core::upstream_id, process_key_hash> upstream_ids_;
    /// The versions at which the eligibility of an upstream of the service changed, in ascending order.
    std::unordered_map<core::service_id, std::vector<core::version>> eligibility_changes_;
    /// The versions at which a failure domain was taken out or back in, in ascending order.
    std::vector<core::version> domain_changes_;
    /// The newest version of both.
    core::version newest_change_;
    core::time_point newest_change_seen_at_;
    /// When a record with flow watermarks was last applied.
    std::optional<core::time_point> watermarks_recorded_at_;
    /// The number of records that may still be written for flow watermarks alone: one for each change of eligibility.
    std::size_t watermark_records_left_ = 0;
    /// The number of upstreams of a service that are neither gone nor draining.
    std::unordered_map<core::service_id, std::size_t> listed_counts_;

    std::unordered_map<process_key, lease, process_key_hash> leases_;
    /// The agent that sent the last accepted heartbeat with a packet endpoint.
    std::map<core::endpoint, process_key> endpoint_holders_;
    /// Processes whose heartbeats were refused, kept only to report their applied version.
    std::unordered_map<core::incarnation, lease> unregistered_;
    /// When an incarnation was replaced by another incarnation of the same process.
    std::unordered_map<core::incarnation, core::time_point> replaced_incarnations_;
    /// When upstreams of a service that were not draining became gone, within the mass-expiry window.
    std::unordered_map<core::service_id, time_points> removal_times_;
    /// When an upstream became gone, within the flap window.
    std::unordered_map<core::upstream_id, time_points> gone_times_;
    std::unordered_map<core::service_id, double> mean_open_flows_;
};

} // namespace ibisdyke::membership
