#pragma once

#include "ibisdyke/core/error.h"
#include "ibisdyke/core/time.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QString>

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

/// Whether object_reader accepts fields that its user does not read.
enum class unknown_fields : std::uint8_t {
    rejected,
    allowed,
};

/// Reads the fields of one JSON object. Throws core::invalid_input with the path of the field for a value of the wrong
/// type and for a required field that is missing. finish() does so for a field that was not read.
class object_reader {
public:
    /// `path` is the path of the object in its document with a dot at the end, or empty for the document itself.
    object_reader(QJsonObject object, std::string path, unknown_fields unknown = unknown_fields::rejected)
        : object_(std::move(object))
        , path_(std::move(path))
        , unknown_(unknown)
    {
    }

    bool has(const QString& name) const { return object_.contains(name); }

    void require(const QString& name) const
    {
        if (!has(name))
            fail(name, QJsonValue(QJsonValue::Undefined), "a value");
    }

    std::string required_text(const QString& name)
    {
        const auto value = read_value(name);
        if (!value.isString())
            fail(name, value, "a text");
        return value.toString().toStdString();
    }

    void read_text(const QString& name, std::string& out)
    {
        if (object_.contains(name))
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
        if (!object_.contains(name))
            return;
        const auto value = read_value(name);
        if (!value.isDouble())
            fail(name, value, "a number");
        out = value.toDouble();
    }

    void read_flag(const QString& name, bool& out)
    {
        if (!object_.contains(name))
            return;
        const auto value = read_value(name);
        if (!value.isBool())
            fail(name, value, "true or false");
        out = value.toBool();
    }

    template <typename Integer>
    void read_integer(const QString& name, Integer& out)
    {
        if (!object_.contains(name))
            return;
        const auto value = read_value(name);
        // Other writers keep numbers as doubles, which cannot represent every whole number above 2^53. toInteger()
        // returns what the document states; toDouble() could round it to a number that is in range.
        constexpr qint64 max_exact = qint64{1} << 53;
        constexpr auto max_value = static_cast<std::uint64_t>(std::numeric_limits<Integer>::max());
        const auto number = value.isDouble() ? value.toInteger(-1) : -1;
        if (number < 0 || number > max_exact || static_cast<std::uint64_t>(number) > max_value)
            fail(name, value, "a whole number of at least 0");
        out = static_cast<Integer>(number);
    }

    void read_duration(const QString& name, core::milliseconds& out)
    {
        auto count = static_cast<std::int64_t>(out.count());
        read_integer(name, count);
        out = core::milliseconds(count);
    }

    /// The following functions check optional fields whose values are not used.
    void check_text(const QString& name)
    {
        std::string unused;
        read_text(name, unused);
    }

    void check_integer(const QString& name)
    {
        std::uint64_t unused = 0;
        read_integer(name, unused);
    }

    void check_flag(const QString& name)
    {
        bool unused = false;
        read_flag(name, unused);
    }

    template <typename Read>
    void read_list(const QString& name, Read read)
    {
        if (!object_.contains(name))
            return;
        const auto value = read_value(name);
        if (!value.isArray())
            fail(name, value, "a list");
        const auto list = value.toArray();
        for (qsizetype i = 0; i < list.size(); ++i) {
            const auto path = path_ + name.toStdString() + "[" + std::to_string(i) + "]";
            if (!list[i].isObject())
                throw core::invalid_input(path, detail::describe(list[i]), "an object");
            object_reader element(list[i].toObject(), path + ".", unknown_);
            read(element);
            element.finish();
        }
    }

    template <typename Read>
    void read_object(const QString& name, Read read)
    {
        if (!object_.contains(name))
            return;
        const auto value = read_value(name);
        if (!value.isObject())
            fail(name, value, "an object");
        object_reader inner(value.toObject(), path_ + name.toStdString() + ".", unknown_);
        read(inner);
        inner.finish();
    }

    /// Throws core::invalid_input if the object has a field that was not read, unless such fields are allowed.
    void finish() const
    {
        if (unknown_ == unknown_fields::allowed)
            return;
        for (auto it = object_.begin(); it != object_.end(); ++it) {
            if (!read_fields_.contains(it.key()))
                throw core::invalid_input(
                    path_ + it.key().toStdString(), detail::describe(it.value()), "no field of this name");
        }
    }

    [[noreturn]] void fail(const QString& name, const QJsonValue& value, const std::string& allowed) const
    {
        throw core::invalid_input(
            path_ + name.toStdString(), value.isUndefined() ? "" : detail::describe(value), allowed);
    }

    std::string path(const char* name) const { return path_ + name; }

private:
    QJsonValue read_value(const QString& name)
    {
        read_fields_.insert(name);
        return object_.value(name);
    }

    QJsonObject object_;
    std::string path_;
    unknown_fields unknown_;
    std::set<QString> read_fields_;
};

} // namespace ibisdyke::configuration::wire
