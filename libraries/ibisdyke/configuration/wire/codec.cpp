#include "ibisdyke/configuration/wire/codec.h"

#include "ibisdyke/configuration/wire/commands.pb.h"
#include "ibisdyke/configuration/wire/record_codec.h"
#include "ibisdyke/core/error.h"
#include "ibisdyke/core/wire/core_codec.h"
#include "ibisdyke/core/wire/message.h"

namespace ibisdyke::configuration::wire {

namespace {

using core::wire::from_wire;
using core::wire::parse;
using core::wire::to_enum;
using core::wire::to_wire;

void fill(Change& out, const put_profile& it)
{
    to_wire(it.document, *out.mutable_put_profile()->mutable_document());
    out.mutable_put_profile()->set_based_on(it.based_on);
}

void fill(Change& out, const remove_profile& it)
{
    out.mutable_remove_profile()->set_name(it.name);
    out.mutable_remove_profile()->set_based_on(it.based_on);
}

void fill(Change& out, const put_service& it)
{
    to_wire(it.document, *out.mutable_put_service());
}

void fill(Change& out, const remove_service& it)
{
    out.set_remove_service(it.name);
}

void fill(Change& out, const set_domain_state& it)
{
    out.mutable_set_domain_state()->set_name(it.name.value());
    out.mutable_set_domain_state()->set_state(static_cast<std::uint32_t>(it.state));
}

void fill(Change& out, const put_token& it)
{
    to_wire(it.document, *out.mutable_put_token());
}

void fill(Change& out, const remove_token& it)
{
    out.set_remove_token(it.digest);
}

void fill(Change& out, const set_upstream_drain& it)
{
    out.mutable_set_upstream_drain()->set_id(it.id.value());
    out.mutable_set_upstream_drain()->set_drained(it.drained);
}

void fill(Change& out, const change_route_plan& it)
{
    auto& to = *out.mutable_change_route_plan();
    to.set_based_on(it.based_on);
    to.set_revision(it.revision);
    to.set_idle_timeout_ms(static_cast<std::uint64_t>(it.idle_timeout.count()));
    for (const auto& service : it.services) {
        auto& added = *to.add_services();
        added.set_name(service.name);
        to_wire(service.cold_start, *added.mutable_cold_start());
    }
    for (const auto& route : it.routes) {
        auto& added = *to.add_routes();
        added.set_name(route.name);
        to_wire(route.address, *added.mutable_address());
        for (const auto& target : route.targets) {
            added.add_targets()->set_service(target.service);
            added.mutable_targets()->rbegin()->set_weight(target.weight);
        }
        added.set_request_timeout_ms(static_cast<std::uint64_t>(route.request_timeout.count()));
        added.set_latency_target_ms(static_cast<std::uint64_t>(route.latency_target.count()));
        added.set_priority(route.priority);
    }
    for (const auto& address : it.removed)
        to_wire(address, *to.add_removed());
    for (const auto& step : it.document.steps) {
        auto& added = *to.add_document();
        added.set_copied_from(step.copied_from);
        added.set_copied_bytes(step.copied_bytes);
        added.set_added(step.added);
    }
}

core::milliseconds to_duration(std::uint64_t milliseconds)
{
    return core::milliseconds(static_cast<core::milliseconds::rep>(milliseconds));
}

planned_route read(const PlannedRoute& in)
{
    planned_route result{in.name(), from_wire(in.address()), {}, to_duration(in.request_timeout_ms()),
        to_duration(in.latency_target_ms()), in.priority()};
    for (const auto& it : in.targets())
        result.targets.push_back({it.service(), it.weight()});
    return result;
}

change_route_plan read(const ChangeRoutePlan& in)
{
    change_route_plan result;
    result.based_on = in.based_on();
    result.revision = in.revision();
    result.idle_timeout = to_duration(in.idle_timeout_ms());
    for (const auto& it : in.services())
        result.services.push_back({it.name(), from_wire(it.cold_start())});
    for (const auto& it : in.routes())
        result.routes.push_back(read(it));
    for (const auto& it : in.removed())
        result.removed.push_back(from_wire(it));
    for (const auto& it : in.document())
        result.document.steps.push_back({it.copied_from(), it.copied_bytes(), it.added()});
    return result;
}

void fill(Change& out, const change& it)
{
    std::visit([&](const auto& kind) { fill(out, kind); }, it);
}

change read(const Change& in)
{
    switch (in.kind_case()) {
    case Change::kPutProfile:
        return put_profile{from_wire(in.put_profile().document()), in.put_profile().based_on()};
    case Change::kRemoveProfile:
        return remove_profile{in.remove_profile().name(), in.remove_profile().based_on()};
    case Change::kPutService:
        return put_service{from_wire(in.put_service())};
    case Change::kRemoveService:
        return remove_service{in.remove_service()};
    case Change::kSetDomainState:
        return set_domain_state{core::failure_domain(in.set_domain_state().name()),
            to_enum(in.set_domain_state().state(), domain_state::closed, "domain state")};
    case Change::kPutToken:
        return put_token{from_wire(in.put_token())};
    case Change::kRemoveToken:
        return remove_token{in.remove_token()};
    case Change::kSetUpstreamDrain:
        return set_upstream_drain{core::upstream_id(in.set_upstream_drain().id()), in.set_upstream_drain().drained()};
    case Change::kChangeRoutePlan:
        return read(in.change_route_plan());
    case Change::KIND_NOT_SET:
        break;
    }
    throw core::malformed_message("configuration change has no known kind");
}

void fill(Outcome& out, const outcome& it)
{
    out.set_kind(static_cast<std::uint32_t>(it.kind));
    out.set_field(it.field);
    out.set_message(it.message);
    out.set_present_revision(it.present_revision);
    to_wire(it.at, *out.mutable_at());
}

outcome read(const Outcome& in)
{
    return {to_enum(in.kind(), outcome_kind::rejected, "outcome"), in.field(), in.message(), in.present_revision(),
        from_wire(in.at())};
}

void fill(Document&, const std::monostate&) { }

void fill(Document& out, const profile& it)
{
    to_wire(it, *out.mutable_profile());
}

void fill(Document& out, const service& it)
{
    to_wire(it, *out.mutable_service());
}

void fill(Document& out, const domain& it)
{
    to_wire(it, *out.mutable_domain());
}

void fill(Document& out, const token& it)
{
    to_wire(it, *out.mutable_token());
}

void fill(Document& out, const document& it)
{
    std::visit([&](const auto& kind) { fill(out, kind); }, it);
}

document read(const Document& in)
{
    switch (in.kind_case()) {
    case Document::kProfile:
        return from_wire(in.profile());
    case Document::kService:
        return from_wire(in.service());
    case Document::kDomain:
        return from_wire(in.domain());
    case Document::kToken:
        return from_wire(in.token());
    case Document::KIND_NOT_SET:
        break;
    }
    return {};
}

void fill(ChangeRecord& out, const route_plan_summary& it)
{
    auto& to = *out.mutable_route_plan();
    to.set_based_on(it.based_on);
    to.set_revision(it.revision);
    to.set_idle_timeout_ms(static_cast<std::uint64_t>(it.idle_timeout.count()));
    to.set_services(it.services);
    to.set_changed_routes(it.changed_routes);
    to.set_removed_routes(it.removed_routes);
}

template <typename Kind>
void fill(ChangeRecord& out, const Kind& it)
{
    fill(*out.mutable_what(), it);
}

recorded_change read(const RoutePlanSummary& in)
{
    return route_plan_summary{in.based_on(), in.revision(), to_duration(in.idle_timeout_ms()),
        static_cast<std::size_t>(in.services()), static_cast<std::size_t>(in.changed_routes()),
        static_cast<std::size_t>(in.removed_routes())};
}

recorded_change read_change(const ChangeRecord& in)
{
    return in.has_route_plan() ? read(in.route_plan()) : to_recorded(read(in.what()));
}

void fill(ChangeRecord& out, const change_record& it)
{
    to_wire(it.at, *out.mutable_at());
    out.set_id(it.id.value());
    out.set_author(it.author);
    out.set_made_at_ms(it.made_at.time_since_epoch().count());
    std::visit([&](const auto& kind) { fill(out, kind); }, it.changed);
    fill(*out.mutable_before(), it.before);
    fill(*out.mutable_after(), it.after);
}

change_record read(const ChangeRecord& in)
{
    return {from_wire(in.at()), core::command_id(in.id()), in.author(),
        core::wall_time(core::milliseconds(in.made_at_ms())), read_change(in), read(in.before()), read(in.after())};
}

} // namespace

std::string encode(const command& it)
{
    Command out;
    out.set_id(it.id.value());
    out.set_author(it.author);
    out.set_proposed_at_ms(it.proposed_at.time_since_epoch().count());
    for (const auto& c : it.changes)
        fill(*out.add_changes(), c);
    return out.SerializeAsString();
}

command decode_command(std::string_view bytes)
{
    const auto in = parse<Command>(bytes);
    command result{
        core::command_id(in.id()), in.author(), core::wall_time(core::milliseconds(in.proposed_at_ms())), {}};
    for (const auto& it : in.changes())
        result.changes.push_back(read(it));
    return result;
}

std::string encode(const configuration_state& it)
{
    ConfigurationState out;
    for (const auto& [name, p] : it.profiles)
        to_wire(p, *out.add_profiles());
    for (const auto& [id, s] : it.services)
        to_wire(s, *out.add_services());
    for (const auto& [name, d] : it.domains)
        to_wire(d, *out.add_domains());
    for (const auto& [digest, t] : it.tokens)
        to_wire(t, *out.add_tokens());
    for (const auto& id : it.drained_upstreams)
        out.add_drained_upstreams(id.value());
    for (const auto& [address, r] : it.routes)
        to_wire(r, *out.add_routes());
    to_wire(it.plan, *out.mutable_plan());
    return out.SerializeAsString();
}

configuration_state decode_configuration_state(std::string_view bytes)
{
    const auto in = parse<ConfigurationState>(bytes);
    configuration_state result;
    for (const auto& it : in.profiles())
        result.profiles.emplace(it.name(), from_wire(it));
    for (const auto& it : in.services())
        result.services.emplace(core::service_id(it.id()), from_wire(it));
    for (const auto& it : in.domains())
        result.domains.emplace(core::failure_domain(it.name()), from_wire(it));
    for (const auto& it : in.tokens())
        result.tokens.emplace(it.digest(), from_wire(it));
    for (const auto id : in.drained_upstreams())
        result.drained_upstreams.insert(core::upstream_id(id));
    for (const auto& it : in.routes()) {
        auto route = from_wire(it);
        result.routes.insert_or_assign(route.address, std::move(route));
    }
    result.plan = from_wire(in.plan());
    return result;
}

std::string encode(const plan_document& it)
{
    PlanDocument out;
    out.set_revision(it.revision);
    out.set_text(it.text);
    return out.SerializeAsString();
}

plan_document decode_plan_document(std::string_view bytes)
{
    const auto in = parse<PlanDocument>(bytes);
    return {in.revision(), in.text()};
}

std::string encode(const command_history& it)
{
    ChangeLedger out;
    for (const auto& r : it.outcomes) {
        auto& o = *out.add_outcomes();
        o.set_id(r->id.value());
        fill(*o.mutable_result(), r->result);
    }
    for (const auto& r : it.changes)
        fill(*out.add_history(), *r);
    return out.SerializeAsString();
}

command_history decode_command_history(std::string_view bytes)
{
    const auto in = parse<ChangeLedger>(bytes);
    command_history result;
    for (const auto& it : in.outcomes())
        append(result, outcome_record{core::command_id(it.id()), read(it.result())});
    for (const auto& it : in.history())
        append(result, read(it));
    // Earlier versions limited the records only by their number.
    drop_oldest(result);
    return result;
}

} // namespace ibisdyke::configuration::wire
