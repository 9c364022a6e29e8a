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
    waiting_.push_back({std::move(plan), std::move(document), std::move(done)});
    propose_next();
}

void route_plan_service::propose_next()
{
    answer_overtaken();
    if (proposing_ || waiting_.empty())
        return;
    const auto& next = *std::max_element(waiting_.begin(), waiting_.end(),
        [](const auto& a, const auto& b) { return a.plan.revision < b.plan.revision; });
    auto change =
        configuration::make_change(group_.state()->configuration, group_.plan_document(), next.plan, next.document);
    proposing_ = true;
    proposed_ = {next.plan.revision, transport::read_clock(), change.routes.size(), change.removed.size()};
    counters_.add("route_plans_proposed", 1);
    group_.submit(make_command(std::move(change)), [self = QPointer<route_plan_service>(this)](const auto& result) {
        if (self)
            self->on_result(result);
    });
}

void route_plan_service::on_result(const submit_result& result)
{
    proposing_ = false;
    if (result.status == submit_status::not_leader)
        return fail_all(order_status::not_leader);
    if (result.status == submit_status::unknown)
        return fail_all(order_status::unknown);
    if (result.outcome && result.outcome->kind == configuration::outcome_kind::rejected) {
        observability::write_log(observability::log_level::warning, "plan_rejected",
            {{"field", result.outcome->field}, {"error", result.outcome->message}});
        return fail_all(order_status::unknown);
    }
    if (result.outcome && result.outcome->kind == configuration::outcome_kind::accepted)
        log_accepted(result.at);
    // After a conflict the change is worked out again for the plan that came first.
    propose_next();
}

void route_plan_service::log_accepted(const core::version& at)
{
    const auto taken = transport::read_clock() - proposed_.since;
    const auto taken_ms = std::chrono::duration<double, std::milli>(taken).count();
    counters_.sample("route_plan_commit_ms", taken_ms);
    observability::write_log(observability::log_level::info, "plan_accepted",
        {{"plan", proposed_.revision}, {"version", to_string(at)}, {"changed_routes", std::uint64_t{proposed_.changed}},
            {"removed_routes", std::uint64_t{proposed_.removed}}, {"took_ms", taken_ms},
            {"waiting", std::uint64_t{waiting_.size()}}});
}

void route_plan_service::answer_overtaken()
{
    const auto present = group_.state()->configuration.plan.revision;
    std::vector<waiting_plan> left;
    std::vector<order_callback> answered;
    for (auto& it : std::exchange(waiting_, {})) {
        if (it.plan.revision <= present)
            answered.push_back(std::move(it.done));
        else
            left.push_back(std::move(it));
    }
    waiting_ = std::move(left);
    for (const auto& it : answered)
        it(order_status::accepted);
}

void route_plan_service::fail_all(order_status status)
{
    if (!waiting_.empty())
        observability::write_log(observability::log_level::warning, "plans_given_up",
            {{"plans", std::uint64_t{waiting_.size()}},
                {"reason", status == order_status::not_leader ? "not_leader" : "unknown"}});
    for (const auto& it : std::exchange(waiting_, {}))
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
