#include "measure/trace/trace_event.h"

#include "ibisdyke/core/error.h"
#include "measure/trace/json_fields.h"

#include <array>
#include <utility>

namespace ibisdyke::measure {

namespace {

constexpr double max_rate_factor = 100;

constexpr std::array verb_names{
    std::pair{verb::kill, "kill"},
    std::pair{verb::stop, "stop"},
    std::pair{verb::start, "start"},
    std::pair{verb::pause, "pause"},
    std::pair{verb::resume, "resume"},
    std::pair{verb::drain, "drain"},
    std::pair{verb::undrain, "undrain"},
    std::pair{verb::domain_out, "domain-out"},
    std::pair{verb::domain_in, "domain-in"},
    std::pair{verb::partition, "partition"},
    std::pair{verb::heal, "heal"},
    std::pair{verb::link, "link"},
    std::pair{verb::cold, "cold"},
    std::pair{verb::wipe, "wipe"},
    std::pair{verb::apply, "apply"},
    std::pair{verb::load, "load"},
};

verb parse_verb(const std::string& text)
{
    std::string allowed;
    for (const auto& [it, name] : verb_names) {
        if (text == name)
            return it;
        allowed += allowed.empty() ? name : std::string(", ") + name;
    }
    throw core::invalid_input("do", text, "one of " + allowed);
}

QJsonArray to_array(const std::vector<std::string>& names)
{
    QJsonArray result;
    for (const auto& it : names)
        result.append(QString::fromStdString(it));
    return result;
}

} // namespace

trace_event parse_event(const QJsonObject& document)
{
    json_fields fields(document);
    trace_event it;
    it.at = fields.duration("at_ms", it.at);
    it.what = parse_verb(fields.text("do", ""));
    it.target = fields.text("target", "");
    it.a = fields.texts("a");
    it.b = fields.texts("b");
    it.conditions.loss = fields.number("loss", 0, 0, 1);
    it.conditions.duplicate = fields.number("duplicate", 0, 0, 1);
    it.conditions.reorder = fields.number("reorder", 0, 0, 1);
    it.conditions.delay = fields.duration("delay_ms", core::milliseconds{0});
    it.command = fields.text("command", "");
    if (fields.contains("revision"))
        it.revision = static_cast<std::uint64_t>(fields.number("revision", 0, 0, 1e15));
    it.profile = fields.object("profile");
    if (it.what == verb::load)
        it.rate_factor = fields.number("rate_factor", it.rate_factor, 0, max_rate_factor);
    fields.reject_unknown();
    const bool names_sides = it.what == verb::partition || it.what == verb::heal || it.what == verb::link;
    if (names_sides && it.a.empty() && !it.target.empty())
        it.a = {it.target};
    if (names_sides && it.a.empty())
        throw core::invalid_input("a", "", "the names of one side of the link");
    if (!names_sides && it.target.empty())
        throw core::invalid_input("target", "", "the name of an instance, failure domain, profile or kind of load");
    return it;
}

std::string to_string(verb it)
{
    for (const auto& [value, name] : verb_names) {
        if (value == it)
            return name;
    }
    return {};
}

QJsonObject to_json(const trace_event& it)
{
    QJsonObject result{
        {"at_ms", static_cast<qint64>(it.at.count())}, {"do", QString::fromStdString(to_string(it.what))}};
    if (!it.target.empty())
        result.insert("target", QString::fromStdString(it.target));
    if (!it.a.empty())
        result.insert("a", to_array(it.a));
    if (!it.b.empty())
        result.insert("b", to_array(it.b));
    if (it.what == verb::link) {
        result.insert("loss", it.conditions.loss);
        result.insert("duplicate", it.conditions.duplicate);
        result.insert("reorder", it.conditions.reorder);
        result.insert("delay_ms", static_cast<qint64>(it.conditions.delay.count()));
    }
    if (!it.command.empty())
        result.insert("command", QString::fromStdString(it.command));
    if (it.revision)
        result.insert("revision", static_cast<qint64>(*it.revision));
    if (!it.profile.isEmpty())
        result.insert("profile", it.profile);
    if (it.what == verb::load)
        result.insert("rate_factor", it.rate_factor);
    return result;
}

} // namespace ibisdyke::measure
