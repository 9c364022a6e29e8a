#include "measure/trace/trace.h"

#include "ibisdyke/core/error.h"

#include <QFile>
#include <QJsonDocument>

#include <algorithm>

namespace ibisdyke::measure {

namespace {

QJsonObject parse_line(const QByteArray& line)
{
    QJsonParseError error;
    const auto document = QJsonDocument::fromJson(line, &error);
    if (!document.isObject())
        throw core::invalid_input("line", line.left(60).toStdString(), "a JSON object");
    return document.object();
}

void read_line(trace& result, const QJsonObject& document, bool first)
{
    if (first)
        result.deployment = parse_topology(document);
    else if (document.contains("expect"))
        result.expected = parse_expectations(document.value("expect").toObject());
    else
        result.events.push_back(parse_event(document));
}

} // namespace

trace trace::create(const QByteArray& text)
{
    trace result;
    bool first = true;
    int number = 0;
    for (const auto& raw : text.split('\n')) {
        ++number;
        const auto line = raw.trimmed();
        if (line.isEmpty())
            continue;
        try {
            read_line(result, parse_line(line), first);
        } catch (const core::invalid_input& it) {
            throw core::invalid_input("line " + std::to_string(number), it.what(), "a valid trace line");
        }
        first = false;
    }
    if (first)
        throw core::invalid_input("trace", "", "a topology in its first line");
    std::stable_sort(
        result.events.begin(), result.events.end(), [](const auto& x, const auto& y) { return x.at < y.at; });
    return result;
}

trace trace::read(const std::string& path)
{
    QFile file(QString::fromStdString(path));
    if (!file.open(QIODevice::ReadOnly))
        throw core::system_failure("cannot read " + path + ": " + file.errorString().toStdString());
    return create(file.readAll());
}

std::string to_text(const trace& it)
{
    const auto line = [](const QJsonObject& object) {
        return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString() + "\n";
    };
    auto result = line(to_json(it.deployment));
    for (const auto& event : it.events)
        result += line(to_json(event));
    return result + line({{"expect", to_json(it.expected)}});
}

} // namespace ibisdyke::measure
