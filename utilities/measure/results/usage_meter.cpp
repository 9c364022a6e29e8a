#include "measure/results/usage_meter.h"

#include "measure/deployment/process_usage.h"

#include <algorithm>

namespace ibisdyke::measure {

namespace {

constexpr double percent = 100;

// In shorter spans the CPU time of the process's start dominates.
constexpr std::chrono::seconds min_span{2};

} // namespace

void usage_meter::sample(core::time_point now)
{
    for (const auto& it : processes_.instances()) {
        const auto& process = processes_.process(it.name);
        const auto usage = process.is_running() ? read_process_usage(process.pid()) : std::nullopt;
        if (!usage)
            continue;
        rss_mb_ = std::max(rss_mb_.value_or(0), usage->rss_mb);
        if (it.kind != instance_kind::control)
            continue;
        auto& span = control_.try_emplace({it.name, process.start_count()}, usage_span{usage->cpu_seconds, 0, now, now})
                         .first->second;
        span.last_cpu_seconds = usage->cpu_seconds;
        span.last = now;
    }
}

std::optional<double> usage_meter::control_cpu_percent() const
{
    std::optional<double> result;
    for (const auto& [key, it] : control_) {
        if (it.last - it.first < min_span)
            continue;
        const auto seconds = std::chrono::duration<double>(it.last - it.first).count();
        result = std::max(result.value_or(0), percent * (it.last_cpu_seconds - it.first_cpu_seconds) / seconds);
    }
    return result;
}

std::optional<double> usage_meter::rss_mb() const
{
    return rss_mb_;
}

} // namespace ibisdyke::measure
