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

/// One counter. Incrementing it needs no lock, so hot paths look it up once and keep the reference.
class counter {
public:
    void add(std::uint64_t n) { value_.fetch_add(n, std::memory_order_relaxed); }
    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// All counters and distributions of a process.
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

    /// Returns the counter of that name, creating it at zero. The reference stays valid as long as the registry.
    counter& find(std::string_view name);

    /// Adds a value that is read at each request for it, on the thread that asks; `read` must stay callable as long as
    /// the registry.
    void add_gauge(std::string_view name, std::function<double()> read);

    /// Returns all of it in the text exposition format of Prometheus, with the prefix "ibisdyke_": counters, gauges,
    /// and distributions as histograms.
    std::string to_text() const;

    /// Returns {"counters": {name: value}, "distributions": {name: {"count", "mean", "p50", "p99", "max"}}}.
    QJsonObject to_json() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::unique_ptr<counter>, std::less<>> counters_;
    std::map<std::string, std::unique_ptr<detail::distribution>, std::less<>> distributions_;
    std::map<std::string, std::function<double()>, std::less<>> gauges_;
};

} // namespace ibisdyke::observability
