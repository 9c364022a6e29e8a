#pragma once

#include "ibisdyke/accounting/usage_state.h"

#include <QByteArray>
#include <QJsonArray>

#include <map>

namespace ibisdyke::frontends {

/// Formats the usage totals for operators. There is one CSV row or JSON object for each neighbour, service and span of
/// hours (hours since 1970). `state` determines how many hours a span has.
QByteArray usage_csv(
    const accounting::usage_state& state, const std::map<accounting::usage_key, accounting::usage_counters>& totals);
QJsonArray usage_json(
    const accounting::usage_state& state, const std::map<accounting::usage_key, accounting::usage_counters>& totals);

} // namespace ibisdyke::frontends
