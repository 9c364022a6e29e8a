#pragma once

#include "ibisdyke/admission/admission_policy.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

namespace ibisdyke::benchmarks {

using namespace std::chrono_literals;

using seconds = std::chrono::duration<double>;

constexpr double mean_service_seconds = 0.020;

inline core::time_point::duration to_duration(double n)
{
    return std::chrono::duration_cast<core::time_point::duration>(seconds(n));
}

/// Runs the events of a simulation in the order of their virtual times.
class timeline {
public:
    core::time_point now() const { return now_; }

    void at(core::time_point when, std::function<void()> action) { events_.push({when, next_++, std::move(action)}); }
    void after(double n, std::function<void()> action) { at(now_ + to_duration(n), std::move(action)); }

    void run_until(core::time_point end)
    {
        while (!events_.empty() && events_.top().when <= end) {
            const auto it = events_.top();
            events_.pop();
            now_ = it.when;
            it.action();
        }
        now_ = end;
    }

private:
    struct event {
        core::time_point when;
        std::uint64_t order;
        std::function<void()> action;

        friend bool operator<(const event& left, const event& right)
        {
            return std::tie(left.when, left.order) > std::tie(right.when, right.order);
        }
    };

    core::time_point now_{1'000s};
    std::uint64_t next_ = 0;
    std::priority_queue<event> events_;
};

/// An agent with its admission policy, and an upstream with exponentially distributed service times.
class simulated_agent {
public:
    using end_callback = std::function<void(bool answered)>;

    simulated_agent(timeline& time, std::unique_ptr<admission::admission_policy> policy, std::mt19937& random)
        : time_(time)
        , policy_(std::move(policy))
        , random_(random)
    {
    }

    void offer(const core::neighbour& neighbour, core::time_point deadline, end_callback done)
    {
        const auto id = ++last_;
        open_.emplace(id, std::move(done));
        neighbours_.emplace(id, neighbour);
        apply(policy_->offer({id, neighbour, deadline}, time_.now()));
    }

    double slot_seconds() const { return slot_seconds_; }
    double slot_seconds_of(const core::neighbour& neighbour) { return slot_seconds_by_neighbour_[neighbour]; }
    std::uint32_t running() const { return running_; }

private:
    void apply(const admission::admission_decision& decision)
    {
        for (const auto id : decision.shed)
            finish(id, false);
        for (const auto id : decision.start)
            start(id);
        if (const auto next = policy_->next_event())
            time_.at(std::max(*next, time_.now()), [this] { apply_expiry(); });
    }

    void apply_expiry()
    {
        const auto decision = policy_->advance(time_.now());
        if (decision != admission::admission_decision{})
            apply(decision);
    }

    void start(admission::work_id id)
    {
        ++running_;
        std::exponential_distribution<double> service(1 / mean_service_seconds);
        const auto duration = service(random_);
        slot_seconds_ += duration;
        slot_seconds_by_neighbour_[neighbours_[id]] += duration;
        time_.after(duration, [this, id] {
            --running_;
            // The policy gets no latency, because it would at times take exponential service times for a cold start.
            const auto decision = policy_->finish(id, admission::work_outcome::answered, time_.now());
            finish(id, true);
            apply(decision);
        });
    }

    void finish(admission::work_id id, bool answered)
    {
        const auto it = open_.find(id);
        if (it == open_.end())
            return;
        const auto done = std::move(it->second);
        open_.erase(it);
        neighbours_.erase(id);
        done(answered);
    }

    timeline& time_;
    std::unique_ptr<admission::admission_policy> policy_;
    std::mt19937& random_;
    admission::work_id last_ = 0;
    std::map<admission::work_id, end_callback> open_;
    std::map<admission::work_id, core::neighbour> neighbours_;
    std::map<core::neighbour, double> slot_seconds_by_neighbour_;
    double slot_seconds_ = 0;
    std::uint32_t running_ = 0;
};

/// Sends requests as a Poisson process.
inline void send_poisson(timeline& time, std::mt19937& random, double per_second, const std::function<void()>& send)
{
    std::exponential_distribution<double> gap(per_second);
    time.after(gap(random), [&time, &random, per_second, send] {
        send();
        send_poisson(time, random, per_second, send);
    });
}

constexpr std::uint32_t slots = 5;
constexpr double capacity_per_second = slots / mean_service_seconds;

inline admission::admission_settings create_rules()
{
    admission::admission_settings it;
    it.slots = slots;
    return it;
}

} // namespace ibisdyke::benchmarks
