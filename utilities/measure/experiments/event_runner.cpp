#include "measure/experiments/event_runner.h"

#include "ibisdyke/core/error.h"
#include "measure/support/clock.h"

#include <csignal>
#include <utility>

namespace ibisdyke::measure {

namespace {

const std::string agent_prefix = "agent-";
const std::string upstream_prefix = "upstream-";

// Targets of verb::load.
const std::string flow_load_name = "flows";
const std::string request_load_name = "requests";

// Time that an agent has to notice a cold start without a restart, which it detects only by the upstream's answers.
constexpr core::milliseconds unannounced_cold_grace{1000};

bool targets_agent_only(const std::string& target)
{
    return target.rfind(agent_prefix, 0) == 0;
}

bool targets_upstream_only(const std::string& target)
{
    return target.rfind(upstream_prefix, 0) == 0;
}

std::string instance_name(const std::string& target)
{
    if (targets_upstream_only(target))
        return target.substr(upstream_prefix.size());
    return targets_agent_only(target) ? target.substr(agent_prefix.size()) : target;
}

bool is_domain_verb(verb it)
{
    return it == verb::domain_in || it == verb::domain_out;
}

bool is_link_verb(verb it)
{
    return it == verb::partition || it == verb::heal || it == verb::link;
}

} // namespace

event_runner::event_runner(running_system& system, observer& system_observer, operator_commands& commands,
    drain_latency_meter& drain_latency, QObject* parent)
    : QObject(parent)
    , system_(system)
    , observer_(system_observer)
    , commands_(commands)
    , drain_latency_(drain_latency)
{
    for (const auto& it : system_.instances()) {
        system_.processes().process(it.name).on_exit([this, name = it.name](int code) { handle_exit(name, code); });
    }
}

void event_runner::check(const trace_event& it) const
{
    if (is_link_verb(it.what)) {
        expand_names(it.a, system_.instances());
        expand_names(it.b, system_.instances());
    } else if (is_domain_verb(it.what)) {
        expand_names({it.target}, system_.instances());
    } else if (it.what == verb::load) {
        if (it.target != flow_load_name && it.target != request_load_name)
            throw core::invalid_input("target", it.target, flow_load_name + " or " + request_load_name);
    } else if (it.what != verb::apply) {
        const auto& named = system_.processes().find(instance_name(it.target));
        if (targets_upstream_only(it.target)
            && (named.kind != instance_kind::agent || (it.what != verb::kill && it.what != verb::start)))
            throw core::invalid_input(to_string(it.what), it.target, "kill or start for an upstream alone");
    }
}

void event_runner::run(const trace_event& it)
{
    if (is_link_verb(it.what)) {
        run_on_links(it);
        return;
    }
    switch (it.what) {
    case verb::drain:
        observer_.balance().exclude(it.target);
        commands_.set_draining(it.target, true,
            [this, name = it.target](core::time_point at) { drain_latency_.start_upstream_drain(name, at); });
        return;
    case verb::undrain:
        drain_latency_.finish_upstream_drain(it.target);
        commands_.set_draining(it.target, false, {});
        return;
    case verb::domain_out:
        for (const auto& name : expand_names({it.target}, system_.instances()))
            observer_.balance().exclude(name);
        observer_.faults().begin_domain_absence(it.target, read_clock());
        commands_.set_domain(
            it.target, false, [this, name = it.target](core::time_point at) { drain_latency_.start_domain(name, at); });
        return;
    case verb::domain_in:
        drain_latency_.finish_domain(it.target);
        commands_.set_domain(it.target, true,
            [this, name = it.target](core::time_point at) { observer_.faults().end_domain_absence(name, at); });
        return;
    case verb::apply:
        commands_.apply(it);
        return;
    case verb::load:
        run_on_load(it);
        return;
    default:
        run_on_process(it);
    }
}

void event_runner::run_on_process(const trace_event& it)
{
    const auto name = instance_name(it.target);
    if (targets_upstream_only(it.target)) {
        run_on_upstream(it, name);
        return;
    }
    const bool is_agent = system_.processes().find(name).kind == instance_kind::agent;
    const bool with_upstream = is_agent && !targets_agent_only(it.target);
    if (is_agent)
        observer_.balance().exclude(name);
    switch (it.what) {
    case verb::kill:
        kill(name, with_upstream);
        return;
    case verb::wipe:
        kill(name, with_upstream);
        system_.processes().remove_data(name);
        return;
    case verb::stop:
        stop(name, with_upstream);
        return;
    case verb::start:
        start(name, with_upstream);
        return;
    case verb::pause:
        system_.processes().process(name).pause();
        if (with_upstream)
            system_.pause_upstream(name);
        return;
    case verb::resume:
        observer_.restart_time_limit(name);
        if (with_upstream)
            system_.resume_upstream(name);
        system_.processes().process(name).resume();
        return;
    case verb::cold:
        system_.begin_upstream_cold_start(name, unannounced_cold_grace);
        return;
    default:
        throw core::invalid_input("do", to_string(it.what), "a verb for a process");
    }
}

void event_runner::run_on_upstream(const trace_event& it, const std::string& name)
{
    observer_.balance().exclude(name);
    switch (it.what) {
    case verb::kill:
        observer_.faults().add_exit(name, read_clock());
        system_.kill_upstream(name);
        return;
    case verb::start:
        system_.start_upstream(name);
        return;
    default:
        // check() rejects all other verbs.
        return;
    }
}

void event_runner::run_on_links(const trace_event& it)
{
    const auto a = expand_names(it.a, system_.instances());
    const auto b = expand_names(it.b, system_.instances());
    const auto before = observer_.connected();
    system_.change_links([&](link_table& links) {
        if (it.what == verb::partition)
            links.partition(a, b);
        else if (it.what == verb::heal)
            links.heal(a, b);
        else
            links.set_conditions(a, b, it.conditions);
    });
    for (const auto& name : observer_.connected()) {
        if (!before.contains(name))
            observer_.restart_time_limit(name);
    }
}

void event_runner::run_on_load(const trace_event& it)
{
    if (it.target == flow_load_name)
        system_.flows().call([&](auto& load) { load.set_rate_factor(it.rate_factor); });
    else
        system_.requests().call([&](auto& load) { load.set_rate_factor(it.rate_factor); });
}

void event_runner::kill(const std::string& name, bool with_upstream)
{
    stopping_.erase(name);
    system_.kill(name);
    if (with_upstream)
        kill_upstream(name);
}

void event_runner::stop(const std::string& name, bool with_upstream)
{
    stopping_[name] = with_upstream;
    if (with_upstream)
        drain_latency_.start_upstream_drain(name, read_clock());
    system_.processes().process(name).signal(SIGTERM);
}

void event_runner::start(const std::string& name, bool with_upstream)
{
    kill(name, with_upstream);
    observer_.restart_time_limit(name);
    if (with_upstream)
        system_.start_upstream(name);
    system_.start(name);
}

void event_runner::handle_exit(const std::string& name, int exit_code)
{
    system_.close_routes(name);
    const auto found = stopping_.find(name);
    if (found == stopping_.end() || exit_code != 0)
        unexpected_exits_.push_back(name + " with code " + std::to_string(exit_code));
    if (found == stopping_.end())
        return;
    const bool with_upstream = found->second;
    stopping_.erase(found);
    if (with_upstream)
        kill_upstream(name);
}

void event_runner::kill_upstream(const std::string& name)
{
    drain_latency_.finish_upstream_drain(name);
    observer_.faults().add_exit(name, read_clock());
    system_.kill_upstream(name);
}

} // namespace ibisdyke::measure
