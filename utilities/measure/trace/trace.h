#pragma once

#include "measure/results/expectation.h"
#include "measure/trace/topology.h"
#include "measure/trace/trace_event.h"

#include <QByteArray>

#include <string>
#include <vector>

namespace ibisdyke::measure {

/// A deployment with its load, the events of the run and the expected results.
struct trace {
    topology deployment;
    /// In ascending order of time.
    std::vector<trace_event> events;
    expectations expected;

    /// Parses the text of a trace file. Throws core::invalid_input with the line number and the name of an invalid
    /// field.
    static trace create(const QByteArray& text);

    /// Reads and parses a trace file. Throws core::system_failure when the file cannot be read.
    static trace read(const std::string& path);

    friend bool operator==(const trace&, const trace&) = default;
};

/// Returns the text of a trace file.
std::string to_text(const trace& it);

} // namespace ibisdyke::measure
