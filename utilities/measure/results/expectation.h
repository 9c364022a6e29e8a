#pragma once

#include <QJsonObject>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ibisdyke::measure {

/// The allowed range of one result field.
struct bound {
    std::optional<double> min;
    std::optional<double> max;

    friend bool operator==(const bound&, const bound&) = default;
};

/// Bounds by field name.
using expectations = std::map<std::string, bound>;

/// Measured values by field name. Fields that were not measured are absent.
using results = std::map<std::string, double>;

/// Reads {"field": {"min": x, "max": y}, ...}. Throws core::invalid_input for an unknown field or an empty bound.
expectations parse_expectations(const QJsonObject& document);

/// Returns a line of text for each bound that the results violate. A field that was not measured violates its bound.
std::vector<std::string> find_misses(const expectations& expected, const results& measured);

/// Returns the names of all result fields.
const std::vector<std::string>& result_fields();

QJsonObject to_json(const results& measured);
QJsonObject to_json(const expectations& expected);

} // namespace ibisdyke::measure
