#pragma once

#include <QJsonObject>

namespace ibisdyke::benchmarks {

/// The parts of the benchmark. Each returns its results by name.

/// Compares queue policies by the rate of answers within the deadline.
QJsonObject measure_goodputs();
/// Compares queue policies by the neighbours' shares of the slot time.
QJsonObject measure_shares();
/// Compares the ways in which a balancer selects an agent.
QJsonObject measure_selectors();
QJsonObject measure_latency();
QJsonObject measure_at_most_once();

} // namespace ibisdyke::benchmarks
