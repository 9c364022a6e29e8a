#pragma once

#include "ibisdyke/frontends/control/control_group.h"
#include "ibisdyke/transport/clock.h"

#include <QTimer>

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace ibisdyke::frontends {

/// The control group as one control process sees it, on top of a log that the test holds in memory. Commands are
/// committed in the next turn of the event loop, unless a delay is set.
class fake_control_group final : public control_group {
public:
    /// The log that all control processes of a test share.
    struct shared_log {
        dissemination::system_state state;
        std::vector<fake_control_group*> members;
        std::vector<accounting::usage_batch> usage;
        accounting::usage_state usage_state;

        /// Commits a change of the system state, or an empty record by default.
        void commit(const std::function<void(dissemination::system_state&)>& change = [](auto&) {})
        {
            ++state.applied.index;
            change(state);
            const auto next = std::make_shared<const dissemination::system_state>(state);
            for (auto* const it : members)
                it->apply(next);
        }
    };

    explicit fake_control_group(shared_log& log)
        : log_(log)
        , state_(std::make_shared<const dissemination::system_state>(log.state))
    {
        log_.members.push_back(this);
    }

    bool is_leader() const override { return is_leader_; }
    std::optional<core::endpoint> leader() const override { return leader_; }
    std::map<core::control_id, core::endpoint> members() const override { return {}; }
    dissemination::system_state_snapshot state() const override { return state_; }

    const accounting::usage_state& usage() const override { return log_.usage_state; }

    void on_state_change(std::function<void(const dissemination::system_state_snapshot&)> callback) override
    {
        callbacks_.push_back(std::move(callback));
    }

    void submit(const control_command& command, submit_callback done) override
    {
        ++submitted_;
        if (std::holds_alternative<accounting::usage_batch>(command))
            usage_submitted_at_.push_back(transport::read_clock());
        most_outstanding_ = std::max(most_outstanding_, ++outstanding_);
        QTimer::singleShot(outcome_delay_, [this, command, done = std::move(done)] {
            --outstanding_;
            done(commit(command));
        });
    }

    /// Applies a state unless the process is partitioned.
    void apply(const dissemination::system_state_snapshot& next)
    {
        if (is_partitioned_)
            return;
        state_ = next;
        for (const auto& it : callbacks_)
            it(next);
    }

    bool is_leader_ = false;
    bool is_partitioned_ = false;
    /// The result of the next commands.
    submit_status next_status_ = submit_status::committed;
    std::optional<core::endpoint> leader_;
    int submitted_ = 0;
    /// The largest number of commands without an outcome at one time.
    int most_outstanding_ = 0;
    std::vector<core::time_point> usage_submitted_at_;
    /// The time from the submission of a command to its outcome.
    core::milliseconds outcome_delay_{0};

private:
    submit_result commit(const control_command& command)
    {
        if (!is_leader_)
            return {submit_status::not_leader, std::nullopt, {}};
        if (next_status_ != submit_status::committed)
            return {next_status_, std::nullopt, {}};
        if (const auto* const change = std::get_if<membership::membership_change>(&command)) {
            log_.commit(
                [&](auto& state) { state.membership = membership::apply(state.membership, *change, state.applied); });
        }
        if (const auto* const batch = std::get_if<accounting::usage_batch>(&command)) {
            log_.usage.push_back(*batch);
            log_.usage_state = accounting::merge(std::move(log_.usage_state), *batch);
        }
        return {submit_status::committed, std::nullopt, log_.state.applied};
    }

    shared_log& log_;
    int outstanding_ = 0;
    dissemination::system_state_snapshot state_;
    std::vector<std::function<void(const dissemination::system_state_snapshot&)>> callbacks_;
};

} // namespace ibisdyke::frontends
