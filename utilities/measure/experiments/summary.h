#pragma once

#include "measure/experiments/replay.h"

#include <iosfwd>
#include <string>

namespace ibisdyke::measure {

/// Writes the results and the expectations as human-readable text.
void write_summary(std::ostream& out, const trace& script, const replay_report& report);

/// Returns a line of JSON with the measured fields, "ok" and the missed expectations.
std::string result_line(const std::string& name, const trace& script, const replay_report& report);

} // namespace ibisdyke::measure
