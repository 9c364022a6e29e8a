#include "plan_commands.h"

#include "input_file.h"
#include "text_table.h"

#include "common/front_ends.h"
#include "ibisdyke/configuration/plan_check.h"
#include "ibisdyke/configuration/plan_diff.h"
#include "ibisdyke/core/error.h"

#include <algorithm>
#include <cstddef>
#include <iostream>
#include <optional>

namespace ibisdyke::ctl {

namespace {

using configuration::finding_severity;
using configuration::plan_change;
using configuration::plan_finding;
using configuration::route_plan;

/// The result of the check of a plan. `changes` is absent when the plan was not compared with another one.
struct check_result {
    std::uint64_t revision = 0;
    std::vector<plan_finding> findings;
    std::optional<std::vector<plan_change>> changes;
};

/// Returns nothing if the file has no plan that the front end can read, after printing the reason.
std::optional<route_plan> read_plan(const frontends::front_end& reader, const std::string& file)
{
    const auto document = read_file(file);
    try {
        return reader.read_plan(document);
    } catch (const core::invalid_input& e) {
        std::cerr << file << ": " << e.what() << '\n';
        return std::nullopt;
    }
}

check_result check(const route_plan& plan, const std::optional<route_plan>& in_force)
{
    if (!in_force)
        return {plan.revision, configuration::check_plan(plan), std::nullopt};
    return {plan.revision, configuration::check_plan(plan, *in_force), configuration::diff(*in_force, plan)};
}

QString to_qstring(std::string_view it)
{
    return QString::fromUtf8(it.data(), static_cast<qsizetype>(it.size()));
}

QJsonObject to_json(const plan_finding& it)
{
    return {{"severity", to_qstring(to_string(severity_of(it.kind)))}, {"kind", to_qstring(to_string(it.kind))},
        {"path", to_qstring(it.path)}, {"name", to_qstring(it.name)}, {"value", to_qstring(it.value)},
        {"expected", to_qstring(it.expected)}};
}

QJsonObject to_json(const plan_change& it)
{
    return {{"kind", to_qstring(to_string(it.kind))}, {"name", to_qstring(it.name)},
        {"address", to_qstring(it.address)}, {"before", to_qstring(it.before)}, {"after", to_qstring(it.after)},
        {"effect", to_qstring(to_string(effect_of(it.kind)))}};
}

template <typename Value>
QJsonArray to_json_list(const std::vector<Value>& values)
{
    QJsonArray result;
    for (const auto& it : values)
        result.append(to_json(it));
    return result;
}

QJsonObject to_json(const check_result& it)
{
    QJsonObject result{{"revision", static_cast<qint64>(it.revision)}, {"findings", to_json_list(it.findings)}};
    if (it.changes)
        result.insert("changes", to_json_list(*it.changes));
    return result;
}

std::ptrdiff_t count(const std::vector<plan_finding>& findings, finding_severity severity)
{
    return std::count_if(
        findings.begin(), findings.end(), [severity](const auto& it) { return severity_of(it.kind) == severity; });
}

void print_text(const check_result& it)
{
    if (!it.findings.empty())
        std::cout << format_table(
            list_rows(to_json_list(it.findings), {"severity", "kind", "path", "name", "value", "expected"}))
                  << '\n';
    if (it.changes && !it.changes->empty())
        std::cout << format_table(
            list_rows(to_json_list(*it.changes), {"kind", "name", "address", "before", "after", "effect"}))
                  << '\n';
    std::cout << "revision " << it.revision << ", errors " << count(it.findings, finding_severity::error)
              << ", warnings " << count(it.findings, finding_severity::warning);
    if (it.changes)
        std::cout << ", changes " << it.changes->size();
    std::cout << '\n';
}

} // namespace

ctl_exit_code plan_check(command_session& session)
{
    const auto& options = session.options();
    const auto reader = create_front_end(options.front_end.empty() ? "ip" : options.front_end);
    const auto plan = read_plan(*reader, session.argument(0));
    if (!plan)
        return ctl_exit_code::bad_input;
    std::optional<route_plan> in_force;
    if (!options.against.empty()) {
        in_force = read_plan(*reader, options.against);
        if (!in_force)
            return ctl_exit_code::bad_input;
    }
    const auto result = check(*plan, in_force);
    if (options.json)
        session.print_json(to_json(result));
    else
        print_text(result);
    return has_errors(result.findings) ? ctl_exit_code::failure : ctl_exit_code::success;
}

} // namespace ibisdyke::ctl
