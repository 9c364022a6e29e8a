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

/// The times of the membership slice.
struct lease_limits {
    /// A process that was silent for this long is given up. Four heartbeats, so that a lost one does no harm.
    core::milliseconds lease{2000};
    /// No lease ends for this long after the table was created: the lease plus the time to elect a leader.
    core::milliseconds grace{3000};
    /// A gap of this length between two calls of tick() means that this process was paused, and so begins the grace
    /// period again: heartbeats that arrived meanwhile are still in socket buffers.
    core::milliseconds pause{500};
    /// The window of the mass-expiry limit.
    core::milliseconds mass_expiry_window{10'000};
    /// An upstream that was gone `flap_count` times within `flap_window` rejoins only after `flap_hold_off`.
    core::milliseconds flap_window{60'000};
    std::size_t flap_count = 3;
    core::milliseconds flap_hold_off{10'000};
    /// How long the record of a gone upstream is kept: as long as agents keep idempotency records.
    core::milliseconds memory{900'000};
    /// No history is pruned for this long after a new incarnation was seen: a restarted agent does not know its flows
    /// until it has adopted them.
    core::milliseconds prune_delay{90'000};
    /// The shortest time from a record with flow watermarks to a record that holds nothing else.
    core::milliseconds watermark_interval{60'000};
    /// The same for the last such record that may be written before the next change of eligibility: it is kept for the
    /// flows that end later than most.
    core::milliseconds last_watermark_interval{600'000};
    /// The shortest time from a change of eligibility to a record that holds nothing but flow watermarks. These lag 10
    /// s behind the agents' versions, so that those without older flows pass the change together.
    core::milliseconds watermark_delay{15'000};

    friend bool operator==(const lease_limits&, const lease_limits&) = default;
};

/// What a live process says about itself, for rollouts and the state dump.
struct process_status {
    std::string name;
    process_role role = process_role::agent;
    core::failure_domain domain;
    core::incarnation incarnation;
    /// The version of the system state that the process has applied.
    core::version applied;

    friend bool operator==(const process_status&, const process_status&) = default;
};

/// The leases of all agents and balancers. Soft state of the leader: heartbeats come in, proposed log records go out.
/// Created when a process becomes the leader and dropped when it ceases to be.
class lease_table {
public:
    lease_table(const lease_limits& limits, core::time_point now);

    /// Takes the state after the last applied record. Neither pointer may be null.
    void update(std::shared_ptr<const configuration::configuration_state> configuration,
        std::shared_ptr<const membership_state> membership, const core::version& latest, core::time_point now);

    /// Takes a heartbeat and returns the answer to it.
    heartbeat_answer on_heartbeat(const heartbeat& it, core::time_point now);

    /// Takes what a follower reports: the last heartbeat of a sender, which it heard at `heard`. Unlike a heartbeat, it
    /// may be repeated, which renews the lease up to that time. It takes the lease of another live incarnation over
    /// only with a higher sequence number: a list may hold a sender that was replaced up to a lease ago.
    heartbeat_answer on_report(const heartbeat& it, core::time_point heard, core::time_point now);

    /// Takes the members of the control group with their peer endpoints, for the record.
    void set_controls(std::map<core::control_id, core::endpoint> members) { controls_ = std::move(members); }

    /// Notices pauses of this process and refreshes the means of open flows. Called ten times a second, also while a
    /// proposed record is in progress.
    void tick(core::time_point now);

    /// Returns the record to append, or nothing when the state agrees with the leases. The caller appends one record at
    /// a time and calls update() with its result before it proposes the next.
    std::optional<membership_change> propose(core::time_point now, core::wall_time wall_now) const;

    /// Whether every live process had the time to send a heartbeat.
    bool is_settled(core::time_point now) const { return now >= grace_end_; }

    /// The processes with a lease.
    std::vector<process_status> processes(core::time_point now) const;

private:
    /// An agent is known by its service and name, a balancer by its name and service 0.
    using process_key = std::pair<core::service_id, std::string>;

    struct process_key_hash {
        std::size_t operator()(const process_key& it) const noexcept;
    };

    struct lease {
        heartbeat last;
        core::time_point first_seen;
        core::time_point renewed;
    };

    using times = std::deque<core::time_point>;

    std::optional<process_key> key_of(const heartbeat& it) const;
    const upstream* find_upstream(const process_key& key) const;
    bool has_live_lease(const process_key& key, core::time_point now) const;
    bool is_live(const lease& it, core::time_point now) const { return now - it.renewed < limits_.lease; }
    enum class origin {
        sender,
        follower,
    };

    /// A heartbeat, who tells of it, and when the sender was heard.
    struct sighting {
        const heartbeat& last;
        origin told_by = origin::sender;
        core::time_point heard;
    };

    heartbeat_answer answer(const sighting& seen, core::time_point now);
    heartbeat_result accept(const process_key& key, const sighting& seen, core::time_point now);
    heartbeat_result renew(lease& known, const process_key& key, const sighting& seen, core::time_point now);
    bool may_take_over(const process_key& key, const heartbeat& it, core::time_point now) const;
    bool endpoint_is_held(const process_key& key, const core::endpoint& address, core::time_point now) const;
    bool is_held_off(const core::upstream_id& id, core::time_point now) const;
    double mass_expiry_limit(const core::service_id& service) const;
    std::size_t removable(const core::service_id& service, core::time_point now) const;

    void propose_live(const process_key& key, const lease& it, core::time_point now, membership_change& change,
        std::vector<upstream_update>& watermarks) const;
    void propose_relay(const std::string& name, const lease& it, membership_change& change) const;
    void propose_expired(core::time_point now, membership_change& change) const;
    void propose_controls(membership_change& change) const;
    void propose_removed_relays(core::time_point now, membership_change& change) const;
    void propose_forgotten(core::wall_time wall_now, membership_change& change) const;

    core::version new_watermark(const upstream& known, const lease& it, core::time_point now) const;
    bool watermark_record_is_due(core::time_point now) const;

    void note_changes(const membership_state& next, core::time_point now);
    void note_watermarks(const membership_state& before, core::time_point now);
    void index_state();
    void index_boundaries();
    void drop_ended(core::time_point now);
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
    /// The versions at which the eligibility of an upstream of the service changed, in rising order.
    std::unordered_map<core::service_id, std::vector<core::version>> boundaries_;
    /// The versions at which a failure domain left or came back, in rising order.
    std::vector<core::version> domain_boundaries_;
    core::version newest_boundary_;
    core::time_point newest_boundary_seen_;
    /// When a record with flow watermarks was last applied.
    std::optional<core::time_point> watermarks_recorded_;
    /// How many records may be written that hold nothing but flow watermarks: one for each change of eligibility.
    std::size_t watermark_records_left_ = 0;
    /// Upstreams that are neither gone nor draining.
    std::unordered_map<core::service_id, std::size_t> listed_count_;

    std::unordered_map<process_key, lease, process_key_hash> leases_;
    /// The agent that sent the last accepted heartbeat from a packet endpoint.
    std::map<core::endpoint, process_key> endpoint_holders_;
    /// Processes without a place in the state, which only tell their applied version.
    std::unordered_map<core::incarnation, lease> unplaced_;
    /// Incarnations that were replaced by another one of the same process, and when.
    std::unordered_map<core::incarnation, core::time_point> retired_;
    /// When upstreams of a service were removed, within the mass-expiry window.
    std::unordered_map<core::service_id, times> removal_times_;
    /// When an upstream was gone, within the flap window.
    std::unordered_map<core::upstream_id, times> gone_times_;
    std::unordered_map<core::service_id, double> mean_open_flows_;
};

} // namespace ibisdyke::membership
