#include "ibisdyke/frontends/administration/usage_export.h"

#include <QJsonObject>
#include <QString>

#include <string>

namespace ibisdyke::frontends {

QByteArray usage_csv(
    const accounting::usage_state& state, const std::map<accounting::usage_key, accounting::usage_counters>& totals)
{
    QByteArray result("neighbour,service,hour,flows,packets,bytes,requests,slot_milliseconds,span_hours\n");
    for (const auto& [key, it] : totals) {
        result += QByteArray::fromStdString(key.neighbour.value() + "," + key.service + "," + std::to_string(key.hour)
            + "," + std::to_string(it.flows) + "," + std::to_string(it.packets) + "," + std::to_string(it.bytes) + ","
            + std::to_string(it.requests) + "," + std::to_string(it.slot_milliseconds) + ","
            + std::to_string(span_hours(state, key.hour)) + "\n");
    }
    return result;
}

QJsonArray usage_json(
    const accounting::usage_state& state, const std::map<accounting::usage_key, accounting::usage_counters>& totals)
{
    QJsonArray result;
    for (const auto& [key, it] : totals)
        result.append(QJsonObject{{"neighbour", QString::fromStdString(key.neighbour.value())},
            {"service", QString::fromStdString(key.service)}, {"hour", static_cast<qint64>(key.hour)},
            {"flows", static_cast<qint64>(it.flows)}, {"packets", static_cast<qint64>(it.packets)},
            {"bytes", static_cast<qint64>(it.bytes)}, {"requests", static_cast<qint64>(it.requests)},
            {"slot_milliseconds", static_cast<qint64>(it.slot_milliseconds)},
            {"span_hours", static_cast<qint64>(span_hours(state, key.hour))}});
    return result;
}

} // namespace ibisdyke::frontends
