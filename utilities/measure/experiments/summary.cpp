#include "measure/experiments/summary.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace ibisdyke::measure {

namespace {

constexpr int name_width = 24;

std::string to_text(const bound& it)
{
    const auto number = [](double value) { return QString::number(value, 'g', 8).toStdString(); };
    std::string result;
    if (it.min)
        result += "  at least " + number(*it.min);
    if (it.max)
        result += "  at most " + number(*it.max);
    return result;
}

} // namespace

void write_summary(std::ostream& out, const trace& script, const replay_report& report)
{
    for (const auto& name : result_fields()) {
        const auto found = report.measured.find(name);
        if (found == report.measured.end())
            continue;
        const auto expected = script.expected.find(name);
        out << std::left << std::setw(name_width) << name << std::setw(12) << found->second
            << (expected == script.expected.end() ? "" : to_text(expected->second)) << '\n';
    }
    for (const auto& it : report.details)
        out << "  " << it << '\n';
    for (const auto& it : report.misses)
        out << "missed: " << it << '\n';
    out << (report.misses.empty() ? "all expected outcomes hold" : "expected outcomes were missed") << '\n';
}

std::string result_line(const std::string& name, const trace& script, const replay_report& report)
{
    auto object = to_json(report.measured);
    object.insert("run", QString::fromStdString(name));
    object.insert("seed", static_cast<qint64>(script.deployment.seed));
    object.insert("router", QString::fromStdString(script.deployment.router));
    object.insert("attempt_selector", QString::fromStdString(script.deployment.attempt_selector));
    object.insert("ok", report.misses.empty());
    QJsonArray misses;
    for (const auto& it : report.misses)
        misses.append(QString::fromStdString(it));
    object.insert("missed", misses);
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace ibisdyke::measure
