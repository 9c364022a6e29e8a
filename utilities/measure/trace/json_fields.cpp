#include "measure/trace/json_fields.h"

#include "ibisdyke/core/error.h"

#include <QJsonDocument>

namespace ibisdyke::measure {

namespace {

constexpr double max_duration_ms = 86'400'000;

[[noreturn]] void fail(const std::string& name, const QJsonValue& value, const std::string& allowed)
{
    const auto array = QJsonDocument(QJsonArray{value}).toJson(QJsonDocument::Compact);
    throw core::invalid_input(name, array.mid(1, array.size() - 2).toStdString(), allowed);
}

} // namespace

double json_fields::number(const std::string& name, double initial, double min, double max)
{
    const auto value = take(name);
    if (value.isUndefined())
        return initial;
    const auto it = value.toDouble();
    if (!value.isDouble() || it < min || it > max)
        fail(name, value, "a number from " + std::to_string(min) + " to " + std::to_string(max));
    return it;
}

std::string json_fields::text(const std::string& name, const std::string& initial)
{
    const auto value = take(name);
    if (value.isUndefined())
        return initial;
    if (!value.isString())
        fail(name, value, "a text");
    return value.toString().toStdString();
}

core::milliseconds json_fields::duration(const std::string& name, core::milliseconds initial)
{
    return core::milliseconds(
        static_cast<std::int64_t>(number(name, static_cast<double>(initial.count()), 0, max_duration_ms)));
}

QJsonObject json_fields::object(const std::string& name)
{
    const auto value = take(name);
    if (!value.isUndefined() && !value.isObject())
        fail(name, value, "an object");
    return value.toObject();
}

std::vector<QJsonObject> json_fields::objects(const std::string& name)
{
    std::vector<QJsonObject> result;
    for (const auto& it : take(name).toArray()) {
        if (!it.isObject())
            fail(name, it, "a list of objects");
        result.push_back(it.toObject());
    }
    return result;
}

std::vector<std::string> json_fields::texts(const std::string& name)
{
    const auto value = take(name);
    if (value.isString())
        return {value.toString().toStdString()};
    std::vector<std::string> result;
    for (const auto& it : value.toArray()) {
        if (!it.isString())
            fail(name, it, "a list of names");
        result.push_back(it.toString().toStdString());
    }
    return result;
}

void json_fields::reject_unknown() const
{
    for (const auto& it : object_.keys()) {
        if (!known_.contains(it))
            fail(it.toStdString(), object_.value(it), "no field of this name");
    }
}

QJsonValue json_fields::take(const std::string& name)
{
    const auto key = QString::fromStdString(name);
    known_.insert(key);
    // QJsonObject::value() returns an undefined value for a missing key.
    return object_.value(key);
}

} // namespace ibisdyke::measure
