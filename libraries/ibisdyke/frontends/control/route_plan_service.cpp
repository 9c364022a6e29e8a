#include "ibisdyke/frontends/control/route_plan_service.h"

#include "ibisdyke/observability/log.h"
#include "ibisdyke/transport/clock.h"

#include <QPointer>
#include <QRandomGenerator>

#include <algorithm>
#include <utility>

namespace ibisdyke::frontends {

route_plan_service::route_plan_service(
    replicated_control_group& group, observability::counter_sink& counters, QObject* parent)
    : QObject(parent)
    , group_(group)
    , counters_(counters)
{
}

void route_plan_service::put(configuration::route_plan plan, std::string document, order_callback done)
{
    configuration::validate(plan);
    if (!group_.is_leader()) {
        done(order_status::not_leader);
        return;
    }
    queued_.push_back({std::move(plan), std::move(document), std::move(done)});
    propose_next();
}

void route_plan_service::propose_next()
{
    answer_completed();
    if (proposal_in_progress_ || queued_.empty())
        return;
    const auto& newest = *std::max_element(
        queued_.begin(), queued_.end(), [](const auto& a, const auto& b) { return a.plan.revision < b.plan.revision; });
    auto change = configuration::make_route_plan_change(
        group_.state()->configuration, group_.plan_document(), newest.plan, newest.document);
    proposal_in_progress_ = true;
    proposed_ = {newest.plan.revision, transport::read_clock(), change.routes.size(), change.removed.size()};
    counters_.add("route_plans_proposed", 1);
    group_.submit(make_command(std::move(change)), [self = QPointer<route_plan_service>(this)](const auto& result) {
        if (self)
            self->on_result(result);
    });
}

void route_plan_service::on_result(const submit_result& result)
{
    proposal_in_progress_ = false;
    if (result.status == submit_status::not_leader)
        return abandon_all(order_status::not_leader);
    if (result.status == submit_status::unknown)
        return abandon_all(order_status::unknown);
    if (result.outcome && result.outcome->kind == configuration::outcome_kind::rejected) {
        observability::write_log(observability::log_level::warning, "plan_rejected",
            {{"field", result.outcome->field}, {"error", result.outcome->message}});
        return abandon_all(order_status::unknown);
    }
    if (result.outcome && result.outcome->kind == configuration::outcome_kind::accepted)
        log_accepted(result.at);
    // After a conflict, the change is computed again on top of the plan that was committed first.
    propose_next();
}

void route_plan_service::log_accepted(const core::version& at)
{
    const auto elapsed = transport::read_clock() - proposed_.proposed_at;
    const auto elapsed_ms = std::chrono::duration<double, std::milli>(elapsed).count();
    counters_.sample("route_plan_commit_ms", elapsed_ms);
    observability::write_log(observability::log_level::info, "plan_accepted",
        {{"plan", proposed_.revision}, {"version", to_string(at)},
            {"changed_routes", std::uint64_t{proposed_.changed_routes}},
            {"removed_routes", std::uint64_t{proposed_.removed_routes}}, {"took_ms", elapsed_ms},
            {"waiting", std::uint64_t{queued_.size()}}});
}

void route_plan_service::answer_completed()
{
    const auto current_revision = group_.state()->configuration.plan.revision;
    std::vector<queued_plan> remaining;
    std::vector<order_callback> completed;
    for (auto& it : std::exchange(queued_, {})) {
        if (it.plan.revision <= current_revision)
            completed.push_back(std::move(it.done));
        else
            remaining.push_back(std::move(it));
    }
    queued_ = std::move(remaining);
    for (const auto& done : completed)
        done(order_status::accepted);
}

void route_plan_service::abandon_all(order_status status)
{
    if (!queued_.empty())
        observability::write_log(observability::log_level::warning, "plans_given_up",
            {{"plans", std::uint64_t{queued_.size()}},
                {"reason", status == order_status::not_leader ? "not_leader" : "unknown"}});
    for (const auto& it : std::exchange(queued_, {}))
        it.done(status);
}

void route_plan_service::read(read_callback done)
{
    group_.confirm_read([self = QPointer<route_plan_service>(this), done = std::move(done)](bool confirmed) {
        if (self && confirmed)
            return done(self->group_.plan_document());
        observability::write_log(observability::log_level::warning, "read_unconfirmed", {});
        done(std::nullopt);
    });
}

void route_plan_service::set_domain(
    const core::failure_domain& name, configuration::domain_state state, order_callback done)
{
    if (!group_.is_leader()) {
        done(order_status::not_leader);
        return;
    }
    group_.submit(make_command(configuration::set_domain_state{name, state}),
        [name, state, done = std::move(done)](const auto& it) {
            observability::write_log(observability::log_level::info, "domain_ordered",
                {{"domain", name.value()}, {"state", configuration::to_string(state)}, {"version", to_string(it.at)},
                    {"committed", it.status == submit_status::committed}});
            if (it.status == submit_status::not_leader)
                done(order_status::not_leader);
            else if (it.status == submit_status::unknown || !it.outcome
                || it.outcome->kind != configuration::outcome_kind::accepted)
                done(order_status::unknown);
            else
                done(order_status::accepted);
        });
}

configuration::command route_plan_service::make_command(configuration::change what) const
{
    const auto id = QString::number(QRandomGenerator::system()->generate64(), 16).toStdString();
    return {core::command_id("order-" + id), "operators", transport::read_wall_clock(), {std::move(what)}};
}

} // namespace ibisdyke::frontends
