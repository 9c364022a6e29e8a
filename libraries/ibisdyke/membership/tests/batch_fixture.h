#pragma once

#include "ibisdyke/membership/follower_table.h"
#include "ibisdyke/membership/membership_change.h"
#include "ibisdyke/membership/sender_table.h"
#include "ibisdyke/membership/wire/codec.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace ibisdyke::membership::testing {

using namespace std::chrono_literals;

/// A leader, three control followers, and agents that send a heartbeat every 500 ms to one of the followers. Proposals
/// are committed at once.
class batch_fixture {
public:
    struct agent {
        heartbeat message;
        std::size_t follower = 0;
        bool is_alive = true;
        heartbeat_answer last;
    };

    struct follower {
        explicit follower(std::uint64_t id, core::time_point now)
            : senders(core::incarnation(id), {}, now)
        {
        }

        sender_table senders;
        bool is_running = true;
        /// Whether its batches and their answers arrive.
        bool is_connected = true;
        /// Whether its previous message was lost.
        bool lost_previous = false;
        /// Totals over all batches.
        std::size_t joined = 0;
        std::size_t changed = 0;
        std::size_t batches = 0;
    };

    batch_fixture()
    {
        auto configuration = std::make_shared<configuration::configuration_state>();
        configuration->services.emplace(
            core::service_id(1), configuration::service{core::service_id(1), "dispatch", "standard", {}});
        configuration_ = configuration;
        change_leader();
        for (std::uint64_t i = 0; i < 3; ++i)
            followers_.emplace_back(i + 1000, now_);
        update();
    }

    agent& add(const std::string& name, std::size_t to)
    {
        auto& it = agents_[name];
        it.message.sender_role = process_role::agent;
        it.message.sender = core::incarnation(next_incarnation_++);
        it.message.sequence = 1000 * it.message.sender.value();
        it.message.name = name;
        it.message.service = "dispatch";
        it.message.packet_endpoint = {1, static_cast<std::uint16_t>(7000 + agents_.size())};
        it.message.slots = 2;
        it.message.applied = version_;
        it.follower = to;
        return it;
    }

    /// Replaces the leader's tables by empty tables of a new leader.
    void change_leader()
    {
        leases_.emplace(lease_limits{}, now_);
        follower_table_.emplace(follower_limits{}, now_);
        update();
    }

    void update()
    {
        const auto shared = std::make_shared<const membership_state>(membership_);
        leases_->update(configuration_, shared, version_, now_);
        for (auto& it : followers_)
            it.senders.update(*configuration_, membership_, version_);
        // Processes that had applied the state before apply the new one.
        for (auto& [name, it] : agents_) {
            if (agents_apply_states_ && it.message.applied == newest_applied_)
                it.message.applied = version_;
        }
        newest_applied_ = version_;
    }

    lease_batch_answer deliver(const lease_batch& it)
    {
        CHECK(wire::decode_lease_batch(wire::encode(it)) == it);
        auto answer = follower_table_->on_batch(it, *leases_, now_);
        CHECK(wire::decode_lease_batch_answer(wire::encode(answer)) == answer);
        return answer;
    }

    void send_batch(follower& it)
    {
        const auto batch = it.senders.make_batch(now_);
        ++it.batches;
        it.joined += batch.full_heartbeats.size();
        it.changed += batch.changed.size();
        if (!it.is_connected || is_lost(it))
            return;
        const auto answer = deliver(batch);
        if (!is_lost(it))
            it.senders.on_answer(batch.number, answer, now_);
    }

    /// Decides whether a message of a follower is lost: one in ten at random, but never two in a row.
    bool is_lost(follower& it) const
    {
        it.lost_previous = random_ != nullptr && !it.lost_previous && (*random_)() % 10 == 0;
        return it.lost_previous;
    }

    void send_heartbeat(agent& it)
    {
        ++it.message.sequence;
        auto& to = followers_.at(it.follower);
        if (!to.is_running)
            return;
        if (const auto answer = to.senders.on_heartbeat(it.message, now_))
            it.last = *answer;
    }

    void run(core::milliseconds duration)
    {
        for (const auto end = now_ + duration; now_ < end; now_ += 100ms) {
            int phase = 0;
            for (auto& [name, it] : agents_) {
                if (it.is_alive && (now_.time_since_epoch() / 100ms) % 5 == phase++ % 5)
                    send_heartbeat(it);
            }
            for (auto& it : followers_) {
                if (it.is_running && it.senders.is_due(now_))
                    send_batch(it);
            }
            leases_->tick(now_);
            commit();
        }
    }

    void commit()
    {
        if (const auto change = leases_->propose(now_, core::wall_time{1h})) {
            ++version_.index;
            membership_ = membership::apply(membership_, *change, version_);
            update();
        }
    }

    upstream_state state_of(const std::string& name) const
    {
        for (const auto& [id, it] : membership_.upstreams) {
            if (it.name == name)
                return it.state;
        }
        return upstream_state::starting;
    }

    /// Runs until the upstream is gone, at most 10 s, and returns the time it took.
    core::milliseconds time_to_gone(const std::string& name)
    {
        const auto begin = now_;
        while (state_of(name) != upstream_state::gone && now_ - begin < 10s)
            run(100ms);
        return std::chrono::duration_cast<core::milliseconds>(now_ - begin);
    }

    /// Starts ten agents: four send to the first follower, the others to the second.
    void start()
    {
        for (std::size_t i = 0; i < 10; ++i)
            add("host-" + std::to_string(i), i < 4 ? 0 : 1);
        run(5s);
        REQUIRE(count(upstream_state::active) == 10);
        version_after_joins_ = version_;
    }

    std::size_t count(upstream_state state) const
    {
        return static_cast<std::size_t>(std::count_if(membership_.upstreams.begin(), membership_.upstreams.end(),
            [&](const auto& it) { return it.second.state == state; }));
    }

    core::time_point now_{1h};
    core::version version_{1, 100};
    /// The version at which all agents had joined.
    core::version version_after_joins_;
    std::shared_ptr<const configuration::configuration_state> configuration_;
    membership_state membership_;
    std::optional<lease_table> leases_;
    std::optional<follower_table> follower_table_;
    std::deque<follower> followers_;
    std::map<std::string, agent> agents_;
    std::uint64_t next_incarnation_ = 1;
    core::version newest_applied_;
    bool agents_apply_states_ = true;
    std::mt19937* random_ = nullptr;
};

} // namespace ibisdyke::membership::testing
