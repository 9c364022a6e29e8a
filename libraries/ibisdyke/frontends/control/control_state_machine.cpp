#include "ibisdyke/frontends/control/control_state_machine.h"

#include "ibisdyke/configuration/command_application.h"

#include <memory>
#include <set>
#include <utility>

namespace ibisdyke::frontends {

namespace {

/// Returns the services for which upstreams are recorded.
std::set<core::service_id> services_in_use(const membership::membership_state& state)
{
    std::set<core::service_id> result;
    for (const auto& [id, it] : state.upstreams)
        result.insert(it.service);
    return result;
}

} // namespace

void control_state_machine::apply(const replication::entry& committed)
{
    last_outcome_.reset();
    if (committed.kind != replication::entry_kind::command)
        return;
    const auto record = wire::decode_control_command(committed.command);
    std::visit([&](const auto& it) { apply(it, committed.at); }, record);
}

void control_state_machine::apply(const configuration::command& it, const core::version& at)
{
    if (const auto* const earlier_outcome = configuration::find_outcome(state_.command_history, it.id)) {
        last_outcome_ = *earlier_outcome;
        return;
    }
    auto applied = configuration::apply(state_.system->configuration, it, at);
    state_.command_history = configuration::append_command(
        state_.command_history, it, applied.result, state_.system->configuration, applied.state, at);
    last_outcome_ = applied.result;
    if (applied.result.kind != configuration::outcome_kind::accepted)
        return;
    store_plan_documents(it);
    configuration::drop_unused_services(applied.state, services_in_use(state_.system->membership));
    state_.system = std::make_shared<const dissemination::system_state>(
        dissemination::system_state{at, std::move(applied.state), state_.system->membership});
}

void control_state_machine::store_plan_documents(const configuration::command& it)
{
    for (const auto& change : it.changes) {
        if (const auto* const plan = std::get_if<configuration::change_route_plan>(&change))
            state_.plan_document = {
                plan->revision, configuration::apply_patch(plan->document, state_.plan_document.text)};
    }
}

void control_state_machine::apply(const membership::membership_change& it, const core::version& at)
{
    auto next = std::make_shared<dissemination::system_state>(dissemination::system_state{
        at, state_.system->configuration, membership::apply(state_.system->membership, it, at)});
    if (!it.forgotten.empty()) {
        for (const auto& id : it.forgotten)
            next->configuration.drained_upstreams.erase(id);
        configuration::drop_unused_services(next->configuration, services_in_use(next->membership));
    }
    state_.system = std::move(next);
}

void control_state_machine::apply(const accounting::usage_batch& it, const core::version&)
{
    // Usage is not part of the system state, so the state's version does not change.
    state_.usage = accounting::merge(std::move(state_.usage), it);
}

void control_state_machine::restore(std::string_view saved, const core::version&)
{
    state_ = wire::decode_control_state(saved);
    last_outcome_.reset();
}

} // namespace ibisdyke::frontends
