#pragma once

#include "ibisdyke/accounting/usage_state.h"

#include <QByteArray>
#include <QJsonArray>

#include <map>

namespace ibisdyke::frontends {

/// The account of use as operators get it: one row or object for each neighbour, service and span of hours (hours since
/// 1970). `state` tells how many hours a span has.
QByteArray usage_csv(
    const accounting::usage_state& state, const std::map<accounting::usage_key, accounting::usage_counters>& totals);
QJsonArray usage_json(
    const accounting::usage_state& state, const std::map<accounting::usage_key, accounting::usage_counters>& totals);

} // namespace ibisdyke::frontends
