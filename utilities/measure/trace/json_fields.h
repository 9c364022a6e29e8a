#pragma once

#include "ibisdyke/core/time.h"

#include <QJsonArray>
#include <QJsonObject>

#include <set>
#include <string>
#include <vector>

namespace ibisdyke::measure {

/// Reads and checks fields of a JSON object. Each getter throws core::invalid_input with the field's name.
class json_fields {
public:
    explicit json_fields(QJsonObject object)
        : object_(std::move(object))
    {
    }

    /// Returns the value of the field, or `initial` when the field is missing.
    double number(const std::string& name, double initial, double min, double max);
    std::string text(const std::string& name, const std::string& initial);
    core::milliseconds duration(const std::string& name, core::milliseconds initial);
    QJsonObject object(const std::string& name);
    std::vector<QJsonObject> objects(const std::string& name);
    /// Returns the strings of a field that is a string or a list of strings.
    std::vector<std::string> texts(const std::string& name);

    bool contains(const std::string& name) const { return object_.contains(QString::fromStdString(name)); }

    /// Throws core::invalid_input when the object has a field that no getter has read. Otherwise a misspelt field would
    /// be ignored and change the run unnoticed.
    void reject_unknown() const;

private:
    /// Returns the value of a field and marks the field as known.
    QJsonValue take(const std::string& name);

    QJsonObject object_;
    std::set<QString> known_;
};

} // namespace ibisdyke::measure
