#pragma once

#include "ibisdyke/observability/counter_sink.h"

#include <QJsonObject>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace ibisdyke::observability {

namespace detail {
class distribution;
}

/// A counter. Incrementing it needs no lock, so code on hot paths looks the counter up once and keeps the reference.
class counter {
public:
    void add(std::uint64_t n) { value_.fetch_add(n, std::memory_order_relaxed); }
    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// The counters, gauges and distributions of a process.
class counter_registry final : public counter_sink {
public:
    counter_registry();
    ~counter_registry() override;
    counter_registry(const counter_registry&) = delete;
    counter_registry& operator=(const counter_registry&) = delete;
    counter_registry(counter_registry&&) = delete;
    counter_registry& operator=(counter_registry&&) = delete;

    void add(std::string_view name, std::uint64_t n) override;
    void sample(std::string_view name, double value) override;

    /// Returns the counter with the given name, which is created if it does not exist. The reference is valid for the
    /// lifetime of the registry.
    counter& find(std::string_view name);

    /// Adds a gauge. to_text() calls `read` for the current value, on the calling thread. `read` must stay callable for
    /// the lifetime of the registry.
    void add_gauge(std::string_view name, std::function<double()> read);

    /// Returns all counters, gauges and distributions in the Prometheus text exposition format, with the prefix
    /// "ibisdyke_". Distributions are written as histograms.
    std::string to_text() const;

    /// Returns the counters and distributions, without gauges, as
    /// {"counters": {name: value}, "distributions": {name: {"count", "mean", "p50", "p99", "max"}}}.
    QJsonObject to_json() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::unique_ptr<counter>, std::less<>> counters_;
    std::map<std::string, std::unique_ptr<detail::distribution>, std::less<>> distributions_;
    std::map<std::string, std::function<double()>, std::less<>> gauges_;
};

} // namespace ibisdyke::observability
