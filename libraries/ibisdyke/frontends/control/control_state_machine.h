#pragma once

#include "ibisdyke/frontends/control/wire/control_codec.h"
#include "ibisdyke/replication/state_machine.h"

#include <optional>

namespace ibisdyke::frontends {

/// The replicated state machine of the control group. Passes each command to the slice that it belongs to:
/// configuration, membership or accounting.
class control_state_machine final : public replication::state_machine {
public:
    void apply(const replication::entry& committed) override;
    std::string save() const override { return wire::encode(state_); }
    void restore(std::string_view saved, const core::version& at) override;

    const wire::control_state& state() const { return state_; }

    /// The outcome of the last applied record if it was a configuration command; otherwise empty.
    const std::optional<configuration::outcome>& last_outcome() const { return last_outcome_; }

private:
    void apply(const configuration::command& it, const core::version& at);
    /// Stores the documents of the accepted route plans.
    void store_plan_documents(const configuration::command& it);
    void apply(const membership::membership_change& it, const core::version& at);
    void apply(const accounting::usage_batch& it, const core::version& at);

    wire::control_state state_;
    std::optional<configuration::outcome> last_outcome_;
};

} // namespace ibisdyke::frontends
