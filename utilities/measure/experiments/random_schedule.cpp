#include "measure/experiments/random_schedule.h"

#include <algorithm>
#include <map>
#include <random>

namespace ibisdyke::measure {

namespace {

constexpr std::uint32_t balancers = 4;
constexpr std::uint32_t control = 3;
constexpr std::uint32_t domains = 3;
constexpr std::uint32_t upstreams_a = 6;
constexpr std::uint32_t upstreams_b = 3;
constexpr std::uint32_t upstreams_c = 4;

// No fault begins in the last part of a run, so that the effects of all faults are seen.
constexpr core::milliseconds quiet_end{4000};
constexpr core::milliseconds first_event{2000};

// In a rolling replacement, the time from the stop of one upstream to that of the next, and until the new one starts.
constexpr core::milliseconds replacement_interval{1500};
constexpr core::milliseconds replacement_time{1000};

enum class fault_kind : std::uint8_t {
    balancer_kill,
    control_failure,
    upstream_kill,
    upstream_drain,
    domain_out,
    link_faults,
    control_partition,
    cold_start,
    profile_change,
    load_burst,
    rolling_replacement,
};

constexpr int fault_kinds = 11;

topology sample_deployment(std::uint64_t seed, double seconds)
{
    topology it;
    it.domains = domains;
    it.balancers = balancers;
    it.control = control;
    service_spec a;
    a.name = "a";
    a.upstreams = upstreams_a;
    service_spec b;
    b.name = "b";
    b.upstreams = upstreams_b;
    service_spec c;
    c.name = "c";
    c.upstreams = upstreams_c;
    it.services = {a, b, c};
    it.flows_per_s = 30;
    it.flow_s = seconds;
    it.requests_per_s = 40;
    it.seed = seed;
    it.seconds = seconds;
    return it;
}

class schedule {
public:
    schedule(std::uint64_t seed, double seconds)
        : random_(seed)
        , end_(core::milliseconds(static_cast<std::int64_t>(seconds * 1000)) - quiet_end)
    {
    }

    /// Adds random faults, each with its end. Faults of one kind do not overlap, so that the system tolerates them.
    void add_faults()
    {
        for (core::milliseconds at = first_event; at < end_; at += draw_ms(500, 2500))
            add_fault(at);
    }

    std::vector<trace_event> events() const { return events_; }

private:
    void add_fault(core::milliseconds at)
    {
        constexpr int first_draining = upstreams_a / 2;
        const auto kind = static_cast<fault_kind>(draw(fault_kinds));
        // Control processes that are killed, paused or partitioned share one entry, because the control group tolerates
        // the loss of only one process at a time.
        auto& next_allowed_at =
            next_allowed_at_[kind == fault_kind::control_partition ? fault_kind::control_failure : kind];
        if (at < next_allowed_at)
            return;
        auto until = at + draw_ms(1000, 3000);
        switch (kind) {
        case fault_kind::balancer_kill:
            add_pair(at, verb::kill, until, verb::start, name("balancer", balancers));
            break;
        case fault_kind::control_failure:
            if (draw(2) == 0)
                add_pair(at, verb::kill, until, verb::start, name("control", control));
            else
                add_pair(at, verb::pause, until, verb::resume, name("control", control));
            break;
        case fault_kind::upstream_kill:
            // Kills only upstreams of the first half of service a, because those of the second half are drained.
            add_pair(at, verb::kill, until, verb::start, name("a", upstreams_a / 2));
            break;
        case fault_kind::upstream_drain:
            add_pair(
                at, verb::drain, until, verb::undrain, "a-" + std::to_string(first_draining + draw(first_draining)));
            break;
        case fault_kind::domain_out:
            add_pair(at, verb::domain_out, until, verb::domain_in, name("domain", domains));
            break;
        case fault_kind::link_faults:
            add_link(at, until);
            break;
        case fault_kind::control_partition:
            add_partition(at, until);
            break;
        case fault_kind::cold_start:
            add({at, verb::cold, name("b", upstreams_b), {}, {}, {}, {}, {}, {}});
            break;
        case fault_kind::profile_change:
            add({at, verb::apply, "default", {}, {}, {}, {}, {}, {}});
            break;
        case fault_kind::load_burst:
            add_burst(at, until);
            break;
        case fault_kind::rolling_replacement:
            until = add_replacements(at);
            break;
        }
        next_allowed_at = until + core::milliseconds(2000);
    }

    /// Multiplies the rate of new flows or of requests, while the other rate stays.
    void add_burst(core::milliseconds at, core::milliseconds until)
    {
        const std::string load = draw(2) == 0 ? "flows" : "requests";
        const double rate_factor = 3 + draw(4);
        add({at, verb::load, load, {}, {}, {}, {}, {}, {}, rate_factor});
        add({until, verb::load, load, {}, {}, {}, {}, {}, {}, 1});
    }

    /// Stops the upstreams of service c one after another and starts a new process in place of each, so that soon all
    /// of the service's upstreams are in cold start. The new process is started before the open flows have ended.
    /// Returns the start of the last one.
    core::milliseconds add_replacements(core::milliseconds at)
    {
        auto last_start = at;
        for (std::uint32_t i = 0; i < upstreams_c && at < end_; ++i) {
            last_start = at + replacement_time;
            add_pair(at, verb::stop, last_start, verb::start, "c-" + std::to_string(i));
            at += replacement_interval;
        }
        return last_start;
    }

    void add_link(core::milliseconds at, core::milliseconds until)
    {
        const auto target = name("balancer", balancers);
        add({at, verb::link, {}, {target}, {}, {0.05, 0.05, 0.1, core::milliseconds(draw(20))}, {}, {}, {}});
        add({until, verb::link, {}, {target}, {}, {}, {}, {}, {}});
    }

    void add_partition(core::milliseconds at, core::milliseconds until)
    {
        const auto target = name("control", control);
        add({at, verb::partition, {}, {target}, {}, {}, {}, {}, {}});
        add({until, verb::heal, {}, {target}, {}, {}, {}, {}, {}});
    }

    void add_pair(core::milliseconds at, verb first, core::milliseconds until, verb second, const std::string& target)
    {
        add({at, first, target, {}, {}, {}, {}, {}, {}});
        add({until, second, target, {}, {}, {}, {}, {}, {}});
    }

    void add(const trace_event& it) { events_.push_back(it); }

    std::string name(const std::string& prefix, std::uint32_t count)
    {
        return prefix + "-" + std::to_string(draw(static_cast<int>(count)));
    }

    int draw(int n) { return std::uniform_int_distribution<int>(0, n - 1)(random_); }

    core::milliseconds draw_ms(int min, int max)
    {
        return core::milliseconds(std::uniform_int_distribution<int>(min, max)(random_));
    }

    std::mt19937_64 random_;
    core::milliseconds end_;
    std::map<fault_kind, core::milliseconds> next_allowed_at_;
    std::vector<trace_event> events_;
};

} // namespace

trace create_random_trace(std::uint64_t seed, double seconds)
{
    trace it;
    it.deployment = sample_deployment(seed, seconds);
    schedule plan(seed, seconds);
    plan.add_faults();
    it.events = plan.events();
    std::stable_sort(it.events.begin(), it.events.end(), [](const auto& x, const auto& y) { return x.at < y.at; });
    it.expected = guaranteed_outcomes();
    return it;
}

expectations guaranteed_outcomes()
{
    expectations result;
    for (const auto* const name : {"broken_flows", "misrouted_packets", "lost_requests", "doubled_requests",
             "false_not_run", "mixed_answers", "cold_overload", "config_reverts"})
        result.emplace(name, bound{std::nullopt, 0.0});
    result.emplace("flows", bound{1.0, std::nullopt});
    result.emplace("answered", bound{1.0, std::nullopt});
    result.emplace("config_failed", bound{std::nullopt, 0.0});
    return result;
}

} // namespace ibisdyke::measure
