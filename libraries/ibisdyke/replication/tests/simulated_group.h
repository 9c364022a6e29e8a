#pragma once

#include "ibisdyke/replication/group_membership.h"
#include "ibisdyke/replication/raft_node.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ibisdyke::replication::testing {

/// What a schedule does to the group, as probabilities for each step of 10 ms.
struct fault_rates {
    double loss = 0.05;
    double duplication = 0.05;
    double crash = 0.01;
    double restart = 0.1;
    double wipe = 0.002;
    double partition = 0.01;
    double heal = 0.05;
    double propose = 0.3;
    double compact = 0.02;
    double hand_over = 0.005;
    double change_group = 0.01;
    /// A member stands still for up to 2.5 s; what is sent to it arrives afterwards or is lost.
    double freeze = 0;
    /// A member is gone for good, and an empty one starts at another address.
    double replace = 0;
};

/// A control group on a simulated network, clock and disks, driven by one seed. Throws std::logic_error when a safety
/// property of Raft is broken.
class simulated_group {
public:
    /// With `upkeep` the group keeps itself as one out of seeds does: members without a leader ask to join, and the
    /// leader removes silent ones. The spare members then start with the others and know the group only by its seeds.
    simulated_group(std::size_t initial_members, std::size_t spare_members, std::uint64_t seed,
        std::optional<group_limits> upkeep = std::nullopt);

    /// Advances the clock by 10 ms with random faults.
    void step(const fault_rates& rates);

    /// Ends all faults and starts every member.
    void heal();

    /// Advances the clock by 10 ms without faults.
    void quiet_step();

    /// Returns the member that leads with the highest term, or nothing.
    std::optional<core::control_id> leader() const;
    bool propose(core::control_id id, const std::string& command);
    void hand_over(core::control_id id);
    std::uint64_t committed_count() const { return committed_.size(); }
    std::uint64_t election_count() const { return leaders_.size(); }
    std::uint64_t wipe_count() const { return wipes_; }
    std::uint64_t snapshot_count() const { return snapshots_; }
    std::uint64_t read_count() const { return reads_confirmed_; }
    std::uint64_t replacement_count() const { return replacements_; }
    std::uint64_t removal_count() const { return removals_; }

    /// Whether all members of the leader's configuration have applied the same state and are voters.
    bool converged() const;

    /// Returns the state of every member, for the message of a failed test.
    std::string describe() const;

    const raft_node& node(core::control_id id) const { return *members_.at(id).node; }
    core::time_point now() const { return now_; }

    void crash(core::control_id id);
    void start(core::control_id id);
    void cut(core::control_id id) { cut_.insert(id); }
    void join(core::control_id id) { cut_.erase(id); }

    /// Deletes the disk of a member that is down. Returns false when too few intact voters would remain.
    bool wipe(core::control_id id);

private:
    struct simulated_member {
        core::incarnation disk;
        stored_state stored;
        /// The members that the member's settings name.
        std::vector<member> known;
        std::unique_ptr<raft_node> node;
        /// The state machine: a running hash over the commands, and the index it holds.
        std::uint64_t applied = 0;
        std::uint64_t state = 0;
        /// Stands still until then.
        core::time_point frozen_until{};
        core::time_point upkeep_due{};
        bool is_gone = false;
    };

    struct packet {
        core::time_point due;
        message content;
    };

    /// Whether the voters of the group other than `lost` that still have their disks are a majority.
    bool survives(const group_configuration& group, core::control_id lost) const;
    /// Whether the group outlives the loss of this disk in the view of every configuration that a member may act on.
    bool may_lose(core::control_id id) const;
    bool is_frozen(core::control_id id) const { return members_.at(id).frozen_until > now_; }
    void replace(core::control_id id);
    void keep_groups();
    void remove_silent(core::control_id leader);
    void ask_to_join(core::control_id joining);
    void carry_out(core::control_id id, const output& result);
    void persist(simulated_member& it, const write_batch& batch);
    void apply(simulated_member& it, const entry& committed);
    void check_leader(core::control_id id);
    void send(const message& content);
    void deliver_due();
    void tick_due();
    void random_faults();
    void random_work();
    bool chance(double p) { return std::bernoulli_distribution(p)(random_); }
    core::control_id random_member();
    core::time_point random_delay();

    std::mt19937_64 random_;
    fault_rates rates_;
    core::time_point now_;
    std::map<core::control_id, simulated_member> members_;
    std::vector<member> initial_;
    std::optional<group_limits> upkeep_;
    std::multimap<core::time_point, message> network_;
    std::set<core::control_id> cut_;
    std::uint64_t next_command_ = 0;
    std::uint64_t next_disk_ = 1;
    std::uint64_t wipes_ = 0;
    std::uint64_t snapshots_ = 0;
    std::uint64_t reads_confirmed_ = 0;
    std::uint64_t replacements_ = 0;
    std::uint64_t removals_ = 0;

    std::map<std::uint64_t, std::pair<core::control_id, core::incarnation>> leaders_;
    /// By index: the entry, and the lowest term of a member that saw it committed.
    std::map<std::uint64_t, std::pair<entry, std::uint64_t>> committed_;
    /// By position: the entry and the term of the one before it.
    std::map<core::version, entry> appended_;
    std::map<std::uint64_t, std::uint64_t> state_at_;
    /// By member and read: the highest committed index of any member when the read began.
    std::map<std::pair<core::control_id, std::uint64_t>, std::uint64_t> reads_;
};

} // namespace ibisdyke::replication::testing
