#pragma once

#include "ibisdyke/core/time.h"

#include <functional>

namespace ibisdyke::measure {

/// Runs the calling thread's event loop until the condition holds or the timeout has passed. Evaluates the condition
/// every 10 ms and returns its last value.
bool wait_until(const std::function<bool()>& condition, core::milliseconds timeout);

} // namespace ibisdyke::measure
