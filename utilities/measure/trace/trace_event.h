#pragma once

#include "ibisdyke/core/time.h"
#include "measure/proxy/link_conditions.h"

#include <QJsonObject>

#include <optional>
#include <string>
#include <vector>

namespace ibisdyke::measure {

/// Action of an event. In a trace file its name is that of the enumerator, with `-` for `_`.
enum class verb : std::uint8_t {
    kill,
    stop,
    start,
    pause,
    resume,
    drain,
    undrain,
    domain_out,
    domain_in,
    partition,
    heal,
    link,
    cold,
    wipe,
    apply,
    load,
};

/// An event of a trace.
struct trace_event {
    core::milliseconds at{0};
    verb what = verb::kill;
    /// Name of the instance, failure domain, profile or kind of load; empty for verbs on links, which use `a` and `b`.
    std::string target;
    /// Names on the two sides of the links. An empty list stands for all processes that the other list does not name.
    std::vector<std::string> a;
    std::vector<std::string> b;
    link_conditions conditions;
    /// Id of an operator's command. The second event with the same id is a resend of the command.
    std::string command;
    /// The revision on which the operator's edit is based; nothing means the last accepted revision.
    std::optional<std::uint64_t> revision;
    QJsonObject profile;
    /// For verb::load: the new rate as a multiple of the topology's rate.
    double rate_factor = 1;

    friend bool operator==(const trace_event&, const trace_event&) = default;
};

/// Parses an event line of a trace. Throws core::invalid_input with the name of an invalid field.
trace_event parse_event(const QJsonObject& document);

std::string to_string(verb it);

QJsonObject to_json(const trace_event& it);

} // namespace ibisdyke::measure
