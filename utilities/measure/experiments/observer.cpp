#include "measure/experiments/observer.h"

#include "ibisdyke/core/error.h"
#include "measure/support/clock.h"

#include <algorithm>

namespace ibisdyke::measure {

namespace {

// The platform's fabric polls health at this interval.
constexpr int health_interval_ms = 200;
constexpr int state_interval_ms = 200;
constexpr core::milliseconds sample_interval{500};

// Guaranteed limit on the time until an accepted configuration is in effect everywhere.
constexpr core::milliseconds configuration_limit{7000};

std::map<std::string, core::endpoint> admin_endpoints(const running_system& system)
{
    std::map<std::string, core::endpoint> result;
    for (const auto& it : system.instances())
        result.emplace(it.name, system.addresses().real(it, port_kind::admin));
    return result;
}

std::map<std::string, std::string> upstream_domains(const running_system& system)
{
    std::map<std::string, std::string> result;
    for (const auto& it : system.instances()) {
        if (it.kind == instance_kind::agent)
            result.emplace(it.name, it.domain);
    }
    return result;
}

status_poller::run_counter run_counter(running_system& system)
{
    return [&system](const std::string& name) { return system.processes().process(name).start_count(); };
}

} // namespace

observer::observer(running_system& system, QObject* parent)
    : QObject(parent)
    , system_(system)
    , faults_(upstream_domains(system))
    , usage_(system.processes())
    , health_poller_(
          admin_endpoints(system), "/health", health_interval_ms, run_counter(system),
          [this](const auto& process, int status, const auto&) { handle_health(process, status); }, this)
    , state_poller_(
          admin_endpoints(system), "/state", state_interval_ms, run_counter(system),
          [this](const auto& process, int, const auto& body) { handle_state(process, body); }, this)
    , sample_timer_(this)
{
    sample_timer_.setInterval(sample_interval);
    connect(&sample_timer_, &QTimer::timeout, this, &observer::sample);
}

void observer::start_polling()
{
    health_poller_.start();
    state_poller_.start();
}

void observer::start_sampling()
{
    sample();
    sample_timer_.start();
}

void observer::restart_time_limit(const std::string& name)
{
    returned_at_[name] = read_clock();
}

std::set<std::string> observer::connected() const
{
    std::set<std::string> result;
    std::vector<std::string> control;
    for (const auto& it : system_.instances()) {
        if (it.kind == instance_kind::control)
            control.push_back(it.name);
    }
    for (const auto& it : system_.instances()) {
        const auto& process = system_.processes().process(it.name);
        const auto reached = std::count_if(
            control.begin(), control.end(), [&](const auto& other) { return !system_.links().is_cut(it.name, other); });
        if (process.is_running() && !process.is_paused() && static_cast<std::size_t>(reached) * 2 > control.size())
            result.insert(it.name);
    }
    return result;
}

bool observer::all_have_applied(const core::version& at) const
{
    const auto names = connected();
    return std::all_of(names.begin(), names.end(), [&](const auto& name) {
        const auto found = applied_.find(name);
        return found != applied_.end() && found->second.first == system_.processes().process(name).start_count()
            && found->second.second >= at;
    });
}

std::set<std::string> observer::processes_past_time_limit() const
{
    std::set<std::string> result;
    const auto now = read_clock();
    for (const auto& name : connected()) {
        const auto found = returned_at_.find(name);
        if (found == returned_at_.end() || now - found->second >= configuration_limit)
            result.insert(name);
    }
    return result;
}

void observer::handle_health(const std::string& process, int status)
{
    constexpr int status_ok = 200;
    const bool changed = status == status_ok ? healthy_.insert(process).second : healthy_.erase(process) > 0;
    if (!changed || system_.processes().find(process).kind != instance_kind::balancer)
        return;
    std::vector<std::string> balancers;
    for (const auto& it : system_.instances()) {
        if (it.kind == instance_kind::balancer && is_healthy(it.name))
            balancers.push_back(it.name);
    }
    system_.set_healthy_balancers(balancers);
}

void observer::handle_state(const std::string& process, const QJsonObject& body)
{
    // Control processes report the version of the replicated log, other processes the version of their subscription.
    const auto* const part =
        system_.processes().find(process).kind == instance_kind::control ? "replication" : "subscription";
    const auto text = body.value(part).toObject().value("applied").toString().toStdString();
    if (text.empty())
        return;
    try {
        const auto applied = parse_version(text);
        const auto run = system_.processes().process(process).start_count();
        applied_[process] = {run, applied};
        configuration_.observe(process, run, applied);
    } catch (const core::invalid_input&) {
        return;
    }
    configuration_.check_pending(processes_past_time_limit(), read_clock());
}

void observer::sample()
{
    usage_.sample(read_clock());
    const auto counts = system_.flows().call([](auto& it) { return it.upstream_counts(); });
    std::map<std::string, std::map<std::string, std::size_t>> by_service;
    for (const auto& it : system_.instances()) {
        if (it.kind == instance_kind::agent)
            by_service[system_.deployment().services[it.service].name][it.name] = counts.at(it.name).open_flows;
    }
    for (const auto& [service, flows] : by_service)
        balance_.add_sample(service, flows);
}

} // namespace ibisdyke::measure
