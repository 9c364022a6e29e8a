#include "measure/trace/topology.h"

#include "ibisdyke/core/error.h"
#include "measure/trace/json_fields.h"

#include <set>

namespace ibisdyke::measure {

namespace {

// Bounded by the loopback addresses of a run: the last octet is the number of an instance among those of its kind.
constexpr double max_instances = 200;
constexpr std::size_t max_services = 40;
constexpr double max_rate_per_s = 100'000;
constexpr double max_seconds = 86'400;
constexpr double max_answer_bytes = 1e9;
constexpr double max_table = 1e7;

request_mix parse_mix(const QJsonObject& document)
{
    json_fields fields(document);
    request_mix it;
    it.non_idempotent = fields.number("non_idempotent", it.non_idempotent, 0, 1);
    it.answer_bytes = static_cast<std::uint64_t>(fields.number("answer_bytes", 512, 0, max_answer_bytes));
    it.work = fields.duration("work_ms", it.work);
    it.large_share = fields.number("large_share", it.large_share, 0, 1);
    it.large_bytes = static_cast<std::uint64_t>(fields.number("large_bytes", 0, 0, max_answer_bytes));
    it.slow_readers = fields.number("slow_readers", it.slow_readers, 0, 1);
    it.deadline = fields.duration("deadline_ms", it.deadline);
    fields.reject_unknown();
    return it;
}

std::uint32_t count(json_fields& fields, const std::string& name, std::uint32_t initial, double min)
{
    return static_cast<std::uint32_t>(fields.number(name, initial, min, max_instances));
}

service_spec parse_service(const QJsonObject& document)
{
    json_fields fields(document);
    service_spec it;
    it.name = fields.text("name", "");
    if (it.name.empty())
        throw core::invalid_input("name", "", "the name of a service");
    it.upstreams = count(fields, "upstreams", it.upstreams, 0);
    it.slots = count(fields, "slots", it.slots, 1);
    it.profile = fields.object("profile");
    it.requests = parse_mix(fields.object("requests"));
    it.new_flows_per_s = fields.number("new_flows_per_s", it.new_flows_per_s, 0, max_rate_per_s);
    it.cold_share = fields.number("cold_share", it.cold_share, 0, 1);
    it.cold_ramp = fields.duration("cold_ramp_ms", it.cold_ramp);
    it.flow_weight = fields.number("flow_weight", it.flow_weight, 0, max_rate_per_s);
    it.request_weight = fields.number("request_weight", it.request_weight, 0, max_rate_per_s);
    fields.reject_unknown();
    return it;
}

QJsonValue number(core::milliseconds it)
{
    return static_cast<qint64>(it.count());
}

QJsonValue number(std::uint64_t it)
{
    return static_cast<qint64>(it);
}

QJsonObject mix_json(const request_mix& it)
{
    return {{"non_idempotent", it.non_idempotent}, {"answer_bytes", number(it.answer_bytes)},
        {"work_ms", number(it.work)}, {"large_share", it.large_share}, {"large_bytes", number(it.large_bytes)},
        {"slow_readers", it.slow_readers}, {"deadline_ms", number(it.deadline)}};
}

QJsonObject service_json(const service_spec& it)
{
    return {{"name", QString::fromStdString(it.name)}, {"upstreams", number(std::uint64_t{it.upstreams})},
        {"slots", number(std::uint64_t{it.slots})}, {"profile", it.profile}, {"requests", mix_json(it.requests)},
        {"new_flows_per_s", it.new_flows_per_s}, {"cold_share", it.cold_share}, {"cold_ramp_ms", number(it.cold_ramp)},
        {"flow_weight", it.flow_weight}, {"request_weight", it.request_weight}};
}

} // namespace

topology parse_topology(const QJsonObject& document)
{
    json_fields fields(document);
    topology it;
    it.domains = count(fields, "domains", it.domains, 1);
    it.balancers = count(fields, "balancers", it.balancers, 1);
    it.control = count(fields, "control", it.control, 1);
    std::set<std::string> names;
    for (const auto& service : fields.objects("services")) {
        it.services.push_back(parse_service(service));
        if (!names.insert(it.services.back().name).second)
            throw core::invalid_input("services", it.services.back().name, "distinct names");
    }
    if (it.services.empty() || it.services.size() > max_services)
        throw core::invalid_input("services", std::to_string(it.services.size()), "1 to 40 services");
    it.flows_per_s = fields.number("flows_per_s", it.flows_per_s, 0, max_rate_per_s);
    it.flow_s = fields.number("flow_s", it.flow_s, 0, max_seconds);
    it.requests_per_s = fields.number("requests_per_s", it.requests_per_s, 0, max_rate_per_s);
    it.udp_share = fields.number("udp_share", it.udp_share, 0, 1);
    it.flood_per_s = fields.number("flood_per_s", it.flood_per_s, 0, max_rate_per_s);
    it.max_flows = static_cast<std::uint32_t>(fields.number("max_flows", it.max_flows, 0, max_table));
    it.keepalive = fields.duration("keepalive_ms", it.keepalive);
    it.flow_give_up = fields.duration("flow_give_up_ms", it.flow_give_up);
    it.domain_delay = fields.duration("domain_delay_ms", it.domain_delay);
    it.client_delay = fields.duration("client_delay_ms", it.client_delay);
    it.router = fields.text("router", it.router);
    it.attempt_selector = fields.text("attempt_selector", it.attempt_selector);
    it.seed = static_cast<std::uint64_t>(fields.number("seed", 1, 0, 1e15));
    it.seconds = fields.number("seconds", it.seconds, 1, max_seconds);
    fields.reject_unknown();
    return it;
}

QJsonObject to_json(const topology& it)
{
    QJsonArray services;
    for (const auto& service : it.services)
        services.append(service_json(service));
    return {{"domains", number(std::uint64_t{it.domains})}, {"balancers", number(std::uint64_t{it.balancers})},
        {"control", number(std::uint64_t{it.control})}, {"services", services}, {"flows_per_s", it.flows_per_s},
        {"flow_s", it.flow_s}, {"requests_per_s", it.requests_per_s}, {"udp_share", it.udp_share},
        {"flood_per_s", it.flood_per_s}, {"max_flows", number(std::uint64_t{it.max_flows})},
        {"keepalive_ms", number(it.keepalive)}, {"flow_give_up_ms", number(it.flow_give_up)},
        {"domain_delay_ms", number(it.domain_delay)}, {"client_delay_ms", number(it.client_delay)},
        {"router", QString::fromStdString(it.router)},
        {"attempt_selector", QString::fromStdString(it.attempt_selector)}, {"seed", number(it.seed)},
        {"seconds", it.seconds}};
}

} // namespace ibisdyke::measure
