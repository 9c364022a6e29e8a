#include "measure/experiments/replay.h"

#include "ibisdyke/core/error.h"
#include "measure/experiments/event_runner.h"
#include "measure/support/clock.h"
#include "measure/support/event_wait.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace ibisdyke::measure {

namespace {

constexpr core::milliseconds start_limit{30'000};
// Time for heartbeats and routing tables to reach all processes before the load begins.
constexpr core::milliseconds settle_time{1000};
constexpr core::milliseconds configuration_limit{7000};
constexpr core::milliseconds outstanding_grace{1000};
constexpr std::size_t max_details = 20;

/// The objects of one run.
class run_session {
public:
    run_session(const trace& script, const run_folders& folders, const std::function<bool()>& cancelled,
        const std::function<void(const std::string&)>& progress)
        : script_(script)
        , cancelled_(cancelled)
        , progress_(progress)
        , system_(script.deployment, folders)
        , observer_(system_, nullptr)
        , commands_(system_, observer_, nullptr)
        , drain_latency_(system_)
        , events_(system_, observer_, commands_, drain_latency_, nullptr)
    {
        for (const auto& it : script.events)
            events_.check(it);
    }

    void start_system()
    {
        progress_("starting " + std::to_string(system_.instances().size()) + " processes");
        observer_.start_polling();
        system_.start_control();
        commands_.set_up();
        system_.start_traffic_processes();
        const auto is_up = [this] {
            const auto& all = system_.instances();
            return cancelled_() || std::all_of(all.begin(), all.end(), [this](const auto& it) {
                return observer_.is_healthy(it.name);
            });
        };
        if (!wait_until(is_up, start_limit))
            throw core::system_failure("not healthy after 30 s:" + unhealthy());
        pause(settle_time);
    }

    void run_load()
    {
        progress_("load begins");
        began_ = read_clock();
        control_bytes_before_ = system_.proxy().call([](auto& it) { return it.control_bytes(); });
        system_.flows().call([](auto& it) { it.start(); });
        system_.requests().call([](auto& it) { it.start(); });
        observer_.start_sampling();
        for (const auto& it : script_.events) {
            wait_until([&] { return cancelled_() || read_clock() >= began_ + it.at; }, it.at + start_limit);
            if (cancelled_())
                return;
            progress_("at " + std::to_string(milliseconds_between(began_, read_clock())) + " ms: " + to_string(it.what)
                + " " + it.target);
            events_.run(it);
        }
        const core::milliseconds length(static_cast<std::int64_t>(script_.deployment.seconds * 1000));
        wait_until([&] { return cancelled_() || read_clock() >= began_ + length; }, length + start_limit);
    }

    /// Stops the load and waits for outstanding requests, commands and configuration changes.
    void wait_for_completion()
    {
        ended_ = read_clock();
        control_bytes_after_ = system_.proxy().call([](auto& it) { return it.control_bytes(); });
        observer_.stop_sampling();
        system_.flows().call([](auto& it) { it.stop_opening(); });
        system_.requests().call([](auto& it) { it.stop_opening(); });
        wait_until(
            [this] { return cancelled_() || system_.requests().call([](auto& it) { return it.outstanding(); }) == 0; },
            longest_deadline() + outstanding_grace);
        // Callers detect a flow without answers only after `flow_give_up`.
        if (!script_.events.empty()) {
            const auto last = began_ + script_.events.back().at + script_.deployment.flow_give_up + settle_time;
            wait_until([&] { return cancelled_() || read_clock() >= last; }, script_.deployment.flow_give_up * 2);
        }
        wait_until([this] { return cancelled_() || commands_.waiting() == 0; }, configuration_limit);
        converged_ = wait_until(
            [this] {
                return cancelled_()
                    || (!observer_.configuration().has_pending() && observer_.all_have_applied(commands_.newest()));
            },
            configuration_limit + settle_time);
        drain_latency_.finish_all();
    }

    replay_report report()
    {
        replay_report it;
        add_flows(it);
        add_requests(it);
        add_upstreams(it);
        add_configuration(it);
        add_usage(it);
        it.misses = find_misses(script_.expected, it.measured);
        for (const auto& name : events_.unexpected_exits())
            it.misses.push_back("a process ended unexpectedly: " + name);
        if (cancelled_())
            it.misses.emplace_back("the run was cancelled");
        return it;
    }

private:
    void pause(core::milliseconds time)
    {
        const auto end = read_clock() + time;
        wait_until([&] { return cancelled_() || read_clock() >= end; }, time);
    }

    std::string unhealthy() const
    {
        std::string result;
        for (const auto& it : system_.instances()) {
            if (!observer_.is_healthy(it.name))
                result += " " + it.name;
        }
        return result;
    }

    core::milliseconds longest_deadline() const
    {
        core::milliseconds result{0};
        for (const auto& it : script_.deployment.services)
            result = std::max(result, it.requests.deadline);
        return result;
    }

    static void add_detail(replay_report& it, const std::string& line)
    {
        if (it.details.size() < max_details)
            it.details.push_back(line);
    }

    void add_flows(replay_report& it)
    {
        if (script_.deployment.flows_per_s <= 0)
            return;
        const auto counts = system_.flows().call([](auto& load) { return load.counts(); });
        double broken = 0;
        double given_up = 0;
        for (const auto& flow : counts.broken) {
            if (observer_.faults().explains_early_end(flow.upstream, flow.opened_at, flow.ended_at)) {
                ++given_up;
                continue;
            }
            ++broken;
            add_detail(it,
                "broken flow of " + flow.upstream + ": " + flow.reason + ", from "
                    + std::to_string(milliseconds_between(began_, flow.opened_at)) + " to "
                    + std::to_string(milliseconds_between(began_, flow.ended_at)) + " ms");
        }
        it.measured["flows"] = static_cast<double>(counts.flows);
        it.measured["refused_flows"] = static_cast<double>(counts.refused);
        it.measured["broken_flows"] = broken;
        it.measured["given_up_flows"] = given_up;
        if (const auto imbalance = observer_.balance().imbalance())
            it.measured["imbalance"] = *imbalance;
    }

    void add_requests(replay_report& it)
    {
        if (script_.deployment.requests_per_s <= 0)
            return;
        const auto counts = system_.requests().call([](auto& load) { return load.counts(); });
        it.measured["requests"] = static_cast<double>(counts.requests);
        it.measured["answered"] = static_cast<double>(counts.answered);
        it.measured["lost_requests"] = static_cast<double>(counts.lost);
        it.measured["interrupted_requests"] = static_cast<double>(counts.interrupted);
        it.measured["told_not_run"] = static_cast<double>(counts.told_not_run);
        it.measured["told_may_have_run"] = static_cast<double>(counts.told_may_have_run);
        it.measured["doubled_requests"] = static_cast<double>(counts.doubled);
        it.measured["false_not_run"] = static_cast<double>(counts.false_not_run);
        it.measured["mixed_answers"] = static_cast<double>(counts.mixed);
        it.measured["longest_gap_ms"] = static_cast<double>(counts.longest_gap_ms);
        if (counts.requests > 0)
            it.measured["service_ratio"] = static_cast<double>(counts.answered) / static_cast<double>(counts.requests);
        if (!counts.latencies_ms.empty())
            it.measured["request_p99_ms"] = percentile_99(counts.latencies_ms);
        if (counts.told_may_have_run > 0)
            add_detail(it,
                "callers were told may-have-run from "
                    + std::to_string(milliseconds_between(began_, counts.first_may_have_run)) + " to "
                    + std::to_string(milliseconds_between(began_, counts.last_may_have_run)) + " ms");
        for (const auto& line : counts.faults)
            add_detail(it, line);
    }

    void add_upstreams(replay_report& it)
    {
        const auto packets = system_.flows().call([](auto& load) { return load.upstream_counts(); });
        const auto requests = system_.requests().call([](auto& load) { return load.upstream_counts(); });
        double misrouted = 0;
        double overload = 0;
        for (const auto& [name, counts] : packets) {
            const auto& other = requests.at(name);
            misrouted += static_cast<double>(counts.misrouted + other.misrouted);
            overload += static_cast<double>(counts.cold_overload + other.cold_overload);
            if (counts.cold_overload + other.cold_overload > 0)
                add_detail(it,
                    name + " in cold start got too many flows " + std::to_string(counts.cold_overload)
                        + " times and too many requests " + std::to_string(other.cold_overload) + " times");
        }
        it.measured["misrouted_packets"] = misrouted;
        it.measured["misdirected_packets"] =
            static_cast<double>(system_.proxy().call([](auto& proxy) { return proxy.misdirected_packets(); }));
        it.measured["cold_overload"] = overload;
        if (const auto ms = drain_latency_.domain_last_packet_ms())
            it.measured["domain_last_packet_ms"] = *ms;
        if (const auto ms = drain_latency_.drain_last_new_ms())
            it.measured["drain_last_new_ms"] = *ms;
    }

    void add_configuration(replay_report& it)
    {
        it.measured["config_accepted"] = static_cast<double>(commands_.accepted());
        it.measured["config_conflicts"] = static_cast<double>(commands_.conflicts());
        it.measured["config_failed"] = static_cast<double>(commands_.failed() + commands_.waiting());
        auto times = observer_.configuration().times_ms(read_clock());
        if (!converged_) {
            times.push_back(milliseconds_between(ended_, read_clock()));
            std::sort(times.begin(), times.end());
            for (const auto& name : observer_.configuration().lagging_processes(observer_.connected()))
                add_detail(it, name + " does not hold the newest configuration");
            if (!observer_.all_have_applied(commands_.newest()))
                it.misses.emplace_back("not all processes hold the newest configuration at the end");
        }
        for (const auto& line : observer_.configuration().revert_descriptions())
            add_detail(it, line);
        if (!times.empty())
            it.measured["config_p99_ms"] = percentile_99(times);
        it.measured["config_reverts"] =
            static_cast<double>(observer_.configuration().reverts() + commands_.count_lost_revisions());
    }

    void add_usage(replay_report& it)
    {
        if (const auto percent = observer_.usage().control_cpu_percent())
            it.measured["control_cpu_percent"] = *percent;
        if (const auto mb = observer_.usage().rss_mb())
            it.measured["rss_mb"] = *mb;
        const auto seconds = std::chrono::duration<double>(ended_ - began_).count();
        double most = 0;
        for (const auto& one : system_.instances()) {
            if (one.kind == instance_kind::control)
                continue;
            const auto after = control_bytes_after_[one.name];
            most = std::max(most, static_cast<double>(after - control_bytes_before_[one.name]));
        }
        it.measured["control_bytes_per_s"] = most / seconds;
    }

    static double percentile_99(const std::vector<std::int64_t>& sorted)
    {
        constexpr double share = 0.99;
        const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
        return static_cast<double>(sorted[std::max<std::size_t>(rank, 1) - 1]);
    }

    const trace& script_;
    const std::function<bool()>& cancelled_;
    const std::function<void(const std::string&)>& progress_;
    running_system system_;
    observer observer_;
    operator_commands commands_;
    drain_latency_meter drain_latency_;
    event_runner events_;
    core::time_point began_;
    core::time_point ended_;
    bool converged_ = true;
    std::map<std::string, std::uint64_t> control_bytes_before_;
    std::map<std::string, std::uint64_t> control_bytes_after_;
};

} // namespace

replay::replay(run_folders folders, std::function<bool()> cancelled, std::function<void(const std::string&)> progress)
    : folders_(std::move(folders))
    , cancelled_(std::move(cancelled))
    , progress_(std::move(progress))
{
}

replay_report replay::run(const trace& script)
{
    run_session session(script, folders_, cancelled_, progress_);
    session.start_system();
    session.run_load();
    session.wait_for_completion();
    return session.report();
}

} // namespace ibisdyke::measure
