#include "ibisdyke/frontends/requests/admission_reporter.h"

#include <QJsonValue>

#include <cmath>

namespace ibisdyke::frontends {

QJsonObject admission_reporter::report() const
{
    const auto status = server_.status();
    const auto flows = server_.allowed_flows_per_second();
    return {
        {"limit", static_cast<qint64>(status.limit)},
        {"running", static_cast<qint64>(status.running)},
        {"queued", static_cast<qint64>(status.queued)},
        {"cold_start", status.cold_start},
        // JSON cannot encode infinity, so null means that there is no limit.
        {"new_flows_per_second", std::isinf(flows) ? QJsonValue() : QJsonValue(flows)},
    };
}

} // namespace ibisdyke::frontends
