#pragma once

#include "ibisdyke/membership/lease_table.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace ibisdyke::membership::testing {

using namespace std::chrono_literals;

/// A lease table whose proposals are committed at once, and processes that send a heartbeat every 500 ms.
class lease_fixture {
public:
    lease_fixture()
    {
        auto configuration = std::make_shared<configuration::configuration_state>();
        configuration::profile profile;
        profile.name = "standard";
        configuration->profiles.emplace("standard", profile);
        configuration->services.emplace(
            core::service_id(1), configuration::service{core::service_id(1), "dispatch", "standard", {}});
        configuration->services.emplace(
            core::service_id(2), configuration::service{core::service_id(2), "reports", "standard", {}});
        configuration_ = configuration;
        update();
    }

    heartbeat& add_agent(const std::string& name, std::uint16_t port, const std::string& service = "dispatch")
    {
        auto& it = senders_[name];
        it.sender_role = process_role::agent;
        it.sender = core::incarnation(next_incarnation_++);
        it.name = name;
        it.domain = core::failure_domain("zone-a");
        it.service = service;
        it.packet_endpoint = {1, port};
        it.request_endpoint = {1, static_cast<std::uint16_t>(port + 1)};
        it.slots = 2;
        it.applied = version_;
        return it;
    }

    heartbeat& add_balancer(const std::string& name, std::uint16_t port)
    {
        auto& it = senders_[name];
        it.sender_role = process_role::balancer;
        it.sender = core::incarnation(next_incarnation_++);
        it.name = name;
        it.peer_endpoint = {1, port};
        return it;
    }

    void add_agents(int n)
    {
        for (int i = 0; i < n; ++i)
            add_agent("host-" + std::to_string(i), static_cast<std::uint16_t>(7000 + 10 * i));
    }

    heartbeat_answer send(heartbeat& it)
    {
        ++it.sequence;
        return table_.on_heartbeat(it, now_);
    }

    /// Advances the clock in steps of 100 ms: sends the heartbeats of all processes that are not silent, ticks the
    /// table and commits its proposals.
    void run(core::milliseconds duration)
    {
        for (const auto end = now_ + duration; now_ < end; now_ += 100ms) {
            if ((now_.time_since_epoch() / 100ms) % 5 == 0)
                send_all();
            table_.tick(now_);
            commit();
        }
    }

    void send_all()
    {
        for (auto& [name, it] : senders_) {
            if (!silent_.contains(name))
                answers_[name] = send(it);
        }
    }

    bool commit()
    {
        const auto change = table_.propose(now_, wall_now());
        if (!change)
            return false;
        ++version_.index;
        ++record_count_;
        last_change_ = *change;
        state_ = std::make_shared<const membership_state>(apply(*state_, *change, version_));
        update();
        return true;
    }

    /// Processes that had applied the state before apply the new one.
    void update()
    {
        table_.update(configuration_, state_, version_, now_);
        for (auto& [name, it] : senders_) {
            if (it.applied == newest_applied_)
                it.applied = version_;
        }
        newest_applied_ = version_;
    }

    /// Replaces the lease table by a table of a new leader, with the same replicated state.
    void change_leader()
    {
        table_ = lease_table({}, now_);
        update();
    }

    /// Returns the version that was the newest version `n` records ago.
    core::version version_before(std::uint64_t n) const { return {version_.term, version_.index - n}; }

    core::wall_time wall_now() const
    {
        return core::wall_time(std::chrono::duration_cast<core::milliseconds>(now_.time_since_epoch()));
    }

    const upstream& record(const std::string& name) const
    {
        const upstream* found = nullptr;
        for (const auto& [id, it] : state_->upstreams) {
            if (it.name == name)
                found = &it;
        }
        REQUIRE(found != nullptr);
        return *found;
    }

    std::size_t count(upstream_state state) const
    {
        return static_cast<std::size_t>(std::count_if(state_->upstreams.begin(), state_->upstreams.end(),
            [&](const auto& it) { return it.second.state == state; }));
    }

    core::time_point now_{1'000'000ms};
    core::version version_{1, 100};
    std::shared_ptr<const configuration::configuration_state> configuration_;
    std::shared_ptr<const membership_state> state_ = std::make_shared<const membership_state>();
    lease_table table_{{}, now_};
    std::map<std::string, heartbeat> senders_;
    std::map<std::string, heartbeat_answer> answers_;
    std::set<std::string> silent_;
    membership_change last_change_;
    std::uint64_t next_incarnation_ = 1;
    core::version newest_applied_;
    int record_count_ = 0;
};

} // namespace ibisdyke::membership::testing
