#include "simulated_group.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <optional>

using namespace ibisdyke;
using namespace ibisdyke::replication;
using testing::fault_rates;
using testing::simulated_group;

namespace {

std::uint64_t number_setting(const char* name, std::uint64_t default_value)
{
    const char* const text = std::getenv(name);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

struct schedule_totals {
    std::uint64_t schedules = 0;
    std::uint64_t committed = 0;
    std::uint64_t elections = 0;
    std::uint64_t wipes = 0;
    std::uint64_t snapshots = 0;
    std::uint64_t reads = 0;
    std::uint64_t replacements = 0;
    std::uint64_t removals = 0;
};

/// The composition of a simulated group at its start.
struct group_shape {
    std::size_t members = 3;
    std::size_t spares = 0;
    std::optional<group_limits> limits;
};

void run_schedule(const group_shape& shape, std::uint64_t seed, const fault_rates& rates, schedule_totals& totals)
{
    constexpr int faulty_steps = 1500;
    constexpr int max_recovery_steps = 2000;
    simulated_group group(shape.members, shape.spares, seed, shape.limits);
    for (int i = 0; i < faulty_steps; ++i)
        group.step(rates);
    group.heal();
    bool accepted = false;
    for (int i = 0; i < max_recovery_steps && !(accepted && group.converged()); ++i) {
        group.fault_free_step();
        if (const auto leader = group.leader(); leader && !accepted)
            accepted = group.propose(*leader, "last");
    }
    if (!accepted || !group.converged())
        throw std::logic_error("the group does not recover after all faults have ended:" + group.describe());
    ++totals.schedules;
    totals.committed += group.committed_count();
    totals.elections += group.election_count();
    totals.wipes += group.wipe_count();
    totals.snapshots += group.snapshot_count();
    totals.reads += group.read_count();
    totals.replacements += group.replacement_count();
    totals.removals += group.removal_count();
}

void run_schedules(const group_shape& shape, const fault_rates& rates)
{
    schedule_totals totals;
    // The number of schedules is fixed, so that the result does not depend on the speed of the machine.
    const auto first = number_setting("IBISDYKE_RAFT_SEED", 1);
    const auto end = first + number_setting("IBISDYKE_RAFT_SCHEDULES", 1500);
    for (auto seed = first; seed < end; ++seed) {
        INFO("seed " << seed);
        REQUIRE_NOTHROW(run_schedule(shape, seed, rates, totals));
    }
    std::cout << shape.members << " members: " << totals.schedules << " schedules, " << totals.committed << " entries, "
              << totals.elections << " leaders, " << totals.wipes << " wipes, " << totals.snapshots << " snapshots, "
              << totals.reads << " reads, " << totals.replacements << " replacements, " << totals.removals
              << " removals\n";
    CHECK(totals.committed > totals.schedules);
}

} // namespace

// Random faults must not violate election safety, log matching, leader completeness, state machine safety or confirmed
// reads. Once all faults have ended, the group must accept a command again.
TEST_CASE("three members keep the properties of Raft under random faults")
{
    run_schedules({3, 0, {}}, {});
}

TEST_CASE("five members keep the properties of Raft under random faults")
{
    run_schedules({5, 0, {}}, {});
}

TEST_CASE("a group whose members change keeps the properties of Raft under random faults")
{
    fault_rates rates;
    rates.change_group = 0.05;
    run_schedules({3, 2, {}}, rates);
}

TEST_CASE("a group that loses many messages and disks keeps the properties of Raft")
{
    fault_rates rates;
    rates.loss = 0.2;
    rates.duplication = 0.2;
    rates.crash = 0.03;
    rates.wipe = 0.02;
    rates.compact = 0.1;
    run_schedules({3, 1, {}}, rates);
}

// While members freeze, or are lost for good and replaced by members without state, the same seed addresses must not
// form two groups and no committed entry may be lost. Afterwards the group must recover without an operator.
TEST_CASE("a group out of seeds keeps itself under freezes and replacements")
{
    fault_rates rates;
    rates.change_group = 0;
    rates.freeze = 0.01;
    rates.replace = 0.003;
    run_schedules({3, 2, limits_for_losses(1)}, rates);
}

TEST_CASE("a group out of seeds that tolerates two losses keeps itself when all members crash often")
{
    fault_rates rates;
    rates.change_group = 0;
    rates.crash = 0.03;
    rates.wipe = 0.01;
    rates.freeze = 0.02;
    rates.replace = 0.003;
    run_schedules({3, 4, limits_for_losses(2)}, rates);
}
