#include "ibisdyke/configuration/wire/json_codec.h"

#include "ibisdyke/configuration/wire/object_reader.h"
#include "ibisdyke/core/error.h"

#include <QJsonArray>

#include <array>
#include <chrono>
#include <string>
#include <utility>

namespace ibisdyke::configuration::wire {

namespace {

constexpr std::array role_names{std::pair(role::caller, "caller"), std::pair(role::read, "read"),
    std::pair(role::operate, "operate"), std::pair(role::administer, "administer")};

constexpr std::array domain_states{domain_state::in, domain_state::out, domain_state::closed};

QString to_qstring(const std::string& it)
{
    return QString::fromStdString(it);
}

service_address read_address(object_reader& in)
{
    service_address result;
    const auto address = in.required_text("address");
    try {
        result.address = core::endpoint::create(address);
    } catch (const core::invalid_input&) {
        throw core::invalid_input(in.path("address"), address, "an IPv4 address and port, such as 10.0.0.1:443");
    }
    std::string protocol = "tcp";
    in.read_text("protocol", protocol);
    if (protocol != "tcp" && protocol != "udp")
        throw core::invalid_input(in.path("protocol"), protocol, R"("tcp" or "udp")");
    result.protocol = protocol == "tcp" ? transport_protocol::tcp : transport_protocol::udp;
    return result;
}

/// Longer cold starts are refused. They would overflow when a decision adds them to the present time in nanoseconds.
constexpr std::chrono::hours max_cold_start{24 * 365};

cold_start_bound read_cold_start(object_reader& in)
{
    cold_start_bound result;
    in.read_duration("cold_start_ms", result.duration);
    if (result.duration > max_cold_start)
        throw core::invalid_input(
            in.path("cold_start_ms"), std::to_string(result.duration.count()), "a time from 0 to one year");
    in.read_number("cold_start_flows_per_second", result.flows_per_second);
    if (!(result.flows_per_second >= 0))
        throw core::invalid_input(
            in.path("cold_start_flows_per_second"), std::to_string(result.flows_per_second), "a number of at least 0");
    return result;
}

neighbour_share read_share(object_reader& in)
{
    neighbour_share result;
    result.name = core::neighbour(in.required_text("name"));
    in.read_integer("weight", result.weight);
    in.read_integer("limit_per_second", result.limit_per_second);
    in.read_integer("burst", result.burst);
    return result;
}

QJsonValue document_to_json(const document& it)
{
    return std::visit(
        [](const auto& kind) -> QJsonValue {
            if constexpr (std::is_same_v<std::decay_t<decltype(kind)>, std::monostate>)
                return {QJsonValue::Null};
            else
                return to_json(kind);
        },
        it);
}

} // namespace

QJsonObject to_json(const profile& it)
{
    QJsonArray neighbours;
    for (const auto& share : it.neighbours)
        neighbours.append(
            QJsonObject{{"name", to_qstring(share.name.value())}, {"weight", static_cast<qint64>(share.weight)},
                {"limit_per_second", static_cast<qint64>(share.limit_per_second)},
                {"burst", static_cast<qint64>(share.burst)}});
    return {{"name", to_qstring(it.name)}, {"revision", static_cast<qint64>(it.revision)},
        {"cold_start_share", it.cold_start_share},
        {"cold_start_ramp_ms", static_cast<qint64>(it.cold_start_ramp.count())},
        {"drain_limit_ms", static_cast<qint64>(it.drain_limit.count())}, {"retry_budget", it.retry_budget},
        {"queue_per_slot", static_cast<qint64>(it.queue_per_slot)},
        {"queue_age_limit_ms", static_cast<qint64>(it.queue_age_limit.count())},
        {"mass_expiry_limit", it.mass_expiry_limit}, {"neighbours", neighbours}};
}

profile profile_from_json(const QJsonObject& in)
{
    profile result;
    object_reader reader(in, "");
    result.name = reader.required_text("name");
    reader.read_integer("revision", result.revision);
    reader.read_number("cold_start_share", result.cold_start_share);
    reader.read_duration("cold_start_ramp_ms", result.cold_start_ramp);
    reader.read_duration("drain_limit_ms", result.drain_limit);
    reader.read_number("retry_budget", result.retry_budget);
    reader.read_integer("queue_per_slot", result.queue_per_slot);
    reader.read_duration("queue_age_limit_ms", result.queue_age_limit);
    reader.read_number("mass_expiry_limit", result.mass_expiry_limit);
    reader.read_list("neighbours", [&](object_reader& it) { result.neighbours.push_back(read_share(it)); });
    reader.finish();
    return result;
}

QJsonObject to_json(const service& it)
{
    QJsonArray addresses;
    for (const auto& address : it.addresses)
        addresses.append(QJsonObject{{"address", to_qstring(core::to_string(address.address))},
            {"protocol", address.protocol == transport_protocol::tcp ? "tcp" : "udp"}});
    return {{"id", static_cast<qint64>(it.id.value())}, {"name", to_qstring(it.name)},
        {"profile", to_qstring(it.profile)}, {"addresses", addresses}, {"owner", to_qstring(it.owner.value())},
        {"cold_start_ms", static_cast<qint64>(it.cold_start.duration.count())},
        {"cold_start_flows_per_second", it.cold_start.flows_per_second}};
}

service service_from_json(const QJsonObject& in)
{
    service result;
    object_reader reader(in, "");
    std::uint64_t id = 0;
    reader.read_integer("id", id);
    result.id = core::service_id(id);
    result.name = reader.required_text("name");
    result.profile = reader.required_text("profile");
    std::string owner;
    reader.read_text("owner", owner);
    result.owner = core::neighbour(std::move(owner));
    result.cold_start = read_cold_start(reader);
    reader.read_list("addresses", [&](object_reader& it) { result.addresses.push_back(read_address(it)); });
    reader.finish();
    return result;
}

QJsonObject to_json(const domain& it)
{
    QJsonArray history;
    for (const auto& interval : it.history) {
        QJsonObject entry{{"from", to_qstring(core::to_string(interval.from))}};
        if (interval.to)
            entry.insert("to", to_qstring(core::to_string(*interval.to)));
        history.append(entry);
    }
    return {{"name", to_qstring(it.name.value())},
        {"state", to_qstring(std::string(configuration::to_string(it.state)))}, {"history", history}};
}

QJsonObject to_json(const token& it)
{
    return {{"digest", to_qstring(it.digest)}, {"neighbour", to_qstring(it.owner.value())},
        {"role", to_qstring(to_string(it.assigned_role))}};
}

QJsonObject to_json(const change_record& it)
{
    QJsonObject result{{"at", to_qstring(core::to_string(it.at))}, {"command_id", to_qstring(it.id.value())},
        {"author", to_qstring(it.author)}, {"made_at_ms", static_cast<qint64>(it.made_at.time_since_epoch().count())},
        {"kind", to_qstring(subject_kind(it.changed))}, {"name", to_qstring(subject_name(it.changed))},
        {"before", document_to_json(it.before)}, {"after", document_to_json(it.after)}};
    if (const auto* const drain = std::get_if<set_upstream_drain>(&it.changed))
        result.insert("drained", drain->drained);
    if (const auto* const plan = std::get_if<route_plan_summary>(&it.changed)) {
        result.insert("based_on", static_cast<qint64>(plan->based_on));
        result.insert("changed_routes", static_cast<qint64>(plan->changed_routes));
        result.insert("removed_routes", static_cast<qint64>(plan->removed_routes));
    }
    return result;
}

domain_state domain_state_from_string(const std::string& text)
{
    for (const auto it : domain_states) {
        if (text == configuration::to_string(it))
            return it;
    }
    throw core::invalid_input("state", text, R"("in", "out" or "closed")");
}

std::string to_string(role it)
{
    for (const auto& [value, name] : role_names) {
        if (value == it)
            return name;
    }
    return "caller";
}

role role_from_string(const std::string& text)
{
    for (const auto& [value, name] : role_names) {
        if (text == name)
            return value;
    }
    throw core::invalid_input("role", text, R"("caller", "read", "operate" or "administer")");
}

} // namespace ibisdyke::configuration::wire
