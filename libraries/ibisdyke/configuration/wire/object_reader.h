#pragma once

#include "ibisdyke/core/error.h"
#include "ibisdyke/core/time.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QString>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <utility>

namespace ibisdyke::configuration::wire {

namespace detail {

inline std::string describe(const QJsonValue& value)
{
    if (value.isObject())
        return "an object";
    if (value.isArray())
        return "a list";
    if (value.isString())
        return value.toString().toStdString();
    QJsonArray wrapped;
    wrapped.append(value);
    auto result = QJsonDocument(wrapped).toJson(QJsonDocument::Compact).toStdString();
    return result.substr(1, result.size() - 2);
}

} // namespace detail

/// Whether an object may have fields that are not read.
enum class unknown_fields : std::uint8_t {
    refused,
    allowed,
};

/// Reads the fields of one JSON object. The readers throw core::invalid_input, which names the field, for a value of
/// another type.
class object_reader {
public:
    /// `path` is where the object stands in its document, with a dot at the end, or empty.
    object_reader(QJsonObject in, std::string path, unknown_fields others = unknown_fields::refused)
        : in_(std::move(in))
        , path_(std::move(path))
        , others_(others)
    {
    }

    bool has(const QString& name) const { return in_.contains(name); }

    std::string required_text(const QString& name)
    {
        const auto value = take(name);
        if (!value.isString())
            fail(name, value, "a text");
        return value.toString().toStdString();
    }

    void read_text(const QString& name, std::string& out)
    {
        if (in_.contains(name))
            out = required_text(name);
    }

    /// Returns a whole number of at least 0.
    std::uint64_t required_integer(const QString& name)
    {
        if (!has(name))
            fail(name, {}, "a whole number of at least 0");
        std::uint64_t result = 0;
        read_integer(name, result);
        return result;
    }

    void read_number(const QString& name, double& out)
    {
        if (!in_.contains(name))
            return;
        const auto value = take(name);
        if (!value.isDouble())
            fail(name, value, "a number");
        out = value.toDouble();
    }

    template <typename Integer>
    void read_integer(const QString& name, Integer& out)
    {
        if (!in_.contains(name))
            return;
        const auto value = take(name);
        // Doubles above 2^53 do not hold every whole number.
        constexpr double max_exact = 9007199254740992.0;
        const double max = std::min(max_exact, static_cast<double>(std::numeric_limits<Integer>::max()));
        const double number = value.toDouble(-1);
        if (!value.isDouble() || number < 0 || number > max || std::trunc(number) != number)
            fail(name, value, "a whole number of at least 0");
        out = static_cast<Integer>(number);
    }

    void read_duration(const QString& name, core::milliseconds& out)
    {
        auto count = static_cast<std::int64_t>(out.count());
        read_integer(name, count);
        out = core::milliseconds(count);
    }

    template <typename Read>
    void read_list(const QString& name, Read read)
    {
        if (!in_.contains(name))
            return;
        const auto value = take(name);
        if (!value.isArray())
            fail(name, value, "a list");
        const auto list = value.toArray();
        for (qsizetype i = 0; i < list.size(); ++i) {
            const auto path = path_ + name.toStdString() + "[" + std::to_string(i) + "]";
            if (!list[i].isObject())
                throw core::invalid_input(path, detail::describe(list[i]), "an object");
            object_reader element(list[i].toObject(), path + ".", others_);
            read(element);
            element.finish();
        }
    }

    template <typename Read>
    void read_object(const QString& name, Read read)
    {
        if (!in_.contains(name))
            return;
        const auto value = take(name);
        if (!value.isObject())
            fail(name, value, "an object");
        object_reader inner(value.toObject(), path_ + name.toStdString() + ".", others_);
        read(inner);
        inner.finish();
    }

    /// Throws when the object has a field that was not read, unless such fields are allowed.
    void finish() const
    {
        if (others_ == unknown_fields::allowed)
            return;
        for (auto it = in_.begin(); it != in_.end(); ++it) {
            if (!taken_.contains(it.key()))
                throw core::invalid_input(
                    path_ + it.key().toStdString(), detail::describe(it.value()), "no such field");
        }
    }

    [[noreturn]] void fail(const QString& name, const QJsonValue& value, const std::string& allowed) const
    {
        throw core::invalid_input(
            path_ + name.toStdString(), value.isUndefined() ? "" : detail::describe(value), allowed);
    }

    std::string path(const char* name) const { return path_ + name; }

private:
    QJsonValue take(const QString& name)
    {
        taken_.insert(name);
        return in_.value(name);
    }

    QJsonObject in_;
    std::string path_;
    unknown_fields others_;
    std::set<QString> taken_;
};

} // namespace ibisdyke::configuration::wire
