#include "ibisdyke/frontends/administration/admin_api.h"

#include "ibisdyke/configuration/authorization.h"
#include "ibisdyke/configuration/validation.h"
#include "ibisdyke/configuration/wire/json_codec.h"
#include "ibisdyke/core/error.h"
#include "ibisdyke/frontends/administration/admin_exchange.h"
#include "ibisdyke/frontends/administration/usage_export.h"
#include "ibisdyke/transport/clock.h"

#include <QHttpServer>
#include <QJsonArray>
#include <QPointer>

#include <algorithm>
#include <utility>

namespace ibisdyke::frontends {

namespace {

using configuration::role;
using status = QHttpServerResponder::StatusCode;
using method = QHttpServerRequest::Method;

QString text(const std::string& it)
{
    return QString::fromStdString(it);
}

/// Whether the sender may see the service. A removed service has no owner, so only administrators may see it.
bool may_see(const admin_exchange& it, const dissemination::system_state& state, core::service_id id)
{
    const auto service = state.configuration.services.find(id);
    if (service == state.configuration.services.end())
        return it.owner().assigned_role == role::administer;
    return configuration::has_access(it.owner(), service->second);
}

} // namespace

admin_api::admin_api(replicated_control_group& group, const rollout_status& rollout,
    observability::counter_sink& counters, QObject* parent)
    : QObject(parent)
    , group_(group)
    , rollout_(rollout)
    , counters_(counters)
    , routes_{
          {method::Get, {"profiles"}, role::read, &admin_api::list_profiles},
          {method::Get, {"profiles", "*"}, role::read, &admin_api::show_profile},
          {method::Put, {"profiles", "*"}, role::administer, &admin_api::put_profile},
          {method::Delete, {"profiles", "*"}, role::administer, &admin_api::remove_profile},
          {method::Get, {"services"}, role::read, &admin_api::list_services},
          {method::Put, {"services", "*"}, role::administer, &admin_api::put_service},
          {method::Delete, {"services", "*"}, role::administer, &admin_api::remove_service},
          {method::Get, {"domains"}, role::read, &admin_api::list_domains},
          {method::Put, {"domains", "*"}, role::operate, &admin_api::set_domain},
          {method::Get, {"upstreams"}, role::read, &admin_api::list_upstreams},
          {method::Put, {"upstreams", "*"}, role::operate, &admin_api::set_upstream},
          {method::Get, {"tokens"}, role::administer, &admin_api::list_tokens},
          {method::Put, {"tokens", "*"}, role::administer, &admin_api::put_token},
          {method::Delete, {"tokens", "*"}, role::administer, &admin_api::remove_token},
          {method::Get, {"usage"}, role::read, &admin_api::show_usage},
          {method::Get, {"history"}, role::administer, &admin_api::show_history},
          {method::Get, {"control"}, role::read, &admin_api::show_control},
          {method::Put, {"control", "*"}, role::administer, &admin_api::add_control},
          {method::Delete, {"control", "*"}, role::administer, &admin_api::remove_control},
          {method::Get, {"rollout"}, role::read, &admin_api::show_rollout},
      }
{
}

void admin_api::serve(QHttpServer& server)
{
    server.setMissingHandler(
        [self = QPointer<admin_api>(this)](const QHttpServerRequest& request, QHttpServerResponder&& responder) {
            if (self)
                self->dispatch(std::make_shared<admin_exchange>(request, std::move(responder)));
        });
}

void admin_api::dispatch(const exchange_pointer& it)
{
    counters_.add("admin_requests", 1);
    if (it->body().size() > max_body_bytes) {
        it->answer_error(
            status::PayloadTooLarge, "the body is larger than " + std::to_string(max_body_bytes) + " bytes");
        return;
    }
    bool path_known = false;
    const auto* const matched = find_route(it, path_known);
    if (matched == nullptr) {
        it->answer_error(path_known ? status::MethodNotAllowed : status::NotFound,
            path_known ? "the method is not allowed here" : "no such path");
        return;
    }
    if (!group_.is_leader()) {
        answer_not_leader(it);
        return;
    }
    const auto owner = authenticate(*it);
    if (!owner) {
        it->answer_error(status::Unauthorized, "a known token is needed: Authorization: Bearer TOKEN");
        return;
    }
    if (owner->assigned_role < matched->required_role) {
        it->answer_error(status::Forbidden,
            "the role \"" + configuration::wire::to_string(matched->required_role) + "\" is needed, the token has \""
                + configuration::wire::to_string(owner->assigned_role) + "\"");
        return;
    }
    it->set_owner(*owner);
    const auto handle = matched->handle;
    const auto call_handler = [this, it, handle] {
        try {
            (this->*handle)(it);
        } catch (const core::invalid_input& e) {
            it->answer_error(status::BadRequest, e.what(), e.field());
        }
    };
    try {
        it->parse_body();
    } catch (const core::invalid_input& e) {
        it->answer_error(status::BadRequest, e.what(), e.field());
        return;
    }
    if (it->verb() != method::Get) {
        call_handler();
        return;
    }
    group_.confirm_read([this, it, call_handler](bool confirmed) {
        if (confirmed)
            call_handler();
        else
            answer_not_leader(it);
    });
}

const admin_api::route* admin_api::find_route(const exchange_pointer& it, bool& path_known) const
{
    const auto& path = it->path();
    if (path.isEmpty() || path.front() != "v1")
        return nullptr;
    for (const auto& candidate : routes_) {
        const auto& pattern = candidate.path;
        const bool matches = pattern.size() + 1 == path.size()
            && std::equal(pattern.begin(), pattern.end(), path.begin() + 1,
                [](const auto& a, const auto& b) { return a == "*" || a == b; });
        path_known = path_known || matches;
        if (matches && candidate.method == it->verb())
            return &candidate;
    }
    return nullptr;
}

std::optional<configuration::token> admin_api::authenticate(const admin_exchange& it) const
{
    const auto digest = it.token_digest();
    if (!digest)
        return std::nullopt;
    const auto state = group_.state();
    const auto found = state->configuration.tokens.find(*digest);
    return found == state->configuration.tokens.end() ? std::nullopt : std::optional(found->second);
}

void admin_api::answer_not_leader(const exchange_pointer& it) const
{
    QJsonObject body{{"error", "this process does not lead the control group"}};
    if (const auto leader = group_.leader_admin())
        body.insert("leader", text(to_string(*leader)));
    it->answer(body, status::MisdirectedRequest);
}

// --- Changes

void admin_api::submit(const exchange_pointer& it, std::vector<configuration::change> changes)
{
    configuration::command command{it->command_id(), it->owner().owner.value() + "/" + it->owner().digest,
        transport::read_wall_clock(), std::move(changes)};
    group_.submit(std::move(command), [this, it](const submit_result& result) {
        if (result.status == submit_status::committed)
            answer_outcome(it, result);
        else if (result.status == submit_status::not_leader)
            answer_not_leader(it);
        else
            it->answer_error(status::ServiceUnavailable,
                "leadership was lost and it is unknown whether the command took effect; send it again with the same "
                "command_id");
    });
}

void admin_api::answer_outcome(const exchange_pointer& it, const submit_result& result)
{
    const auto outcome = result.outcome.value_or(configuration::outcome{});
    switch (outcome.kind) {
    case configuration::outcome_kind::accepted:
        it->answer({{"outcome", "accepted"}, {"version", text(to_string(outcome.at))}});
        break;
    case configuration::outcome_kind::conflict:
        it->answer({{"error", text(outcome.message)}, {"field", text(outcome.field)},
                       {"present_revision", static_cast<qint64>(outcome.present_revision)}},
            status::Conflict);
        break;
    case configuration::outcome_kind::rejected:
        it->answer_error(status::BadRequest, outcome.message, outcome.field);
        break;
    }
}

void admin_api::put_profile(const exchange_pointer& it)
{
    auto document = configuration::wire::profile_from_json(it->object_field("document"));
    if (document.name != it->name())
        throw core::invalid_input("document.name", document.name, "the name in the path, \"" + it->name() + "\"");
    configuration::validate(document);
    submit(it, {configuration::put_profile{std::move(document), it->number_field("based_on")}});
}

void admin_api::remove_profile(const exchange_pointer& it)
{
    submit(it, {configuration::remove_profile{it->name(), parse_number("based_on", it->query("based_on"))}});
}

void admin_api::put_service(const exchange_pointer& it)
{
    auto document = configuration::wire::service_from_json(it->object_field("document"));
    if (document.name != it->name())
        throw core::invalid_input("document.name", document.name, "the name in the path, \"" + it->name() + "\"");
    configuration::validate(document);
    submit(it, {configuration::put_service{std::move(document)}});
}

void admin_api::remove_service(const exchange_pointer& it)
{
    submit(it, {configuration::remove_service{it->name()}});
}

void admin_api::set_domain(const exchange_pointer& it)
{
    const auto state = configuration::wire::domain_state_from_string(it->text_field("state"));
    submit(it, {configuration::set_domain_state{core::failure_domain(it->name()), state}});
}

void admin_api::set_upstream(const exchange_pointer& it)
{
    const core::upstream_id id(parse_number("upstream", it->name()));
    const auto state = group_.state();
    const auto known = state->membership.upstreams.find(id);
    // Upstreams of other neighbours' services get the same answer as unknown ones, so that their ids are not disclosed.
    if (known == state->membership.upstreams.end() || !may_see(*it, *state, known->second.service)) {
        it->answer_error(status::NotFound, "upstream " + it->name() + " does not exist", "upstream");
        return;
    }
    submit(it, {configuration::set_upstream_drain{id, it->bool_field("drained")}});
}

void admin_api::put_token(const exchange_pointer& it)
{
    configuration::token document{it->name(), core::neighbour(it->text_field("neighbour")),
        configuration::wire::role_from_string(it->text_field("role"))};
    configuration::validate(document);
    submit(it, {configuration::put_token{std::move(document)}});
}

void admin_api::remove_token(const exchange_pointer& it)
{
    submit(it, {configuration::remove_token{it->name()}});
}

// --- Reads

void admin_api::list_profiles(const exchange_pointer& it)
{
    QJsonArray profiles;
    for (const auto& [name, profile] : group_.state()->configuration.profiles)
        profiles.append(configuration::wire::to_json(profile));
    it->answer({{"profiles", profiles}, {"version", text(to_string(group_.state()->applied))}});
}

void admin_api::show_profile(const exchange_pointer& it)
{
    const auto state = group_.state();
    const auto& profiles = state->configuration.profiles;
    QJsonArray history;
    for (const auto& record : group_.command_history().changes) {
        if (subject_kind(record->changed) == "profile" && subject_name(record->changed) == it->name())
            history.append(configuration::wire::to_json(*record));
    }
    const auto found = profiles.find(it->name());
    if (found == profiles.end() && history.isEmpty()) {
        it->answer_error(status::NotFound, "profile \"" + it->name() + "\" does not exist", "name");
        return;
    }
    const auto profile =
        found == profiles.end() ? QJsonValue(QJsonValue::Null) : configuration::wire::to_json(found->second);
    it->answer({{"profile", profile}, {"history", history}, {"version", text(to_string(state->applied))}});
}

void admin_api::list_services(const exchange_pointer& it)
{
    QJsonArray services;
    for (const auto& [id, service] : group_.state()->configuration.services) {
        if (configuration::has_access(it->owner(), service))
            services.append(configuration::wire::to_json(service));
    }
    it->answer({{"services", services}, {"version", text(to_string(group_.state()->applied))}});
}

void admin_api::list_domains(const exchange_pointer& it)
{
    const auto state = group_.state();
    auto domains = state->configuration.domains;
    // Failure domains that were never taken out of service have no record, so they are listed from their upstreams.
    for (const auto& [id, upstream] : state->membership.upstreams)
        domains.try_emplace(upstream.domain, configuration::domain{upstream.domain, {}, {}});
    QJsonArray result;
    for (const auto& [name, domain] : domains)
        result.append(configuration::wire::to_json(domain));
    it->answer({{"domains", result}, {"version", text(to_string(state->applied))}});
}

void admin_api::list_upstreams(const exchange_pointer& it)
{
    const auto state = group_.state();
    QJsonArray upstreams;
    for (const auto& [id, upstream] : state->membership.upstreams) {
        if (!may_see(*it, *state, upstream.service))
            continue;
        const auto service = state->configuration.services.find(upstream.service);
        const bool known = service != state->configuration.services.end();
        upstreams.append(QJsonObject{{"id", QString::number(id.value())}, {"name", text(upstream.name)},
            {"service", text(known ? service->second.name : std::to_string(upstream.service.value()))},
            {"domain", text(upstream.domain.value())},
            {"state", text(std::string(membership::to_string(upstream.state)))},
            {"slots", static_cast<qint64>(upstream.slots)},
            {"flow_watermark", text(to_string(upstream.flow_watermark))},
            {"packet_endpoint", text(to_string(upstream.packet_endpoint))},
            {"request_endpoint", text(to_string(upstream.request_endpoint))},
            {"drained", state->configuration.drained_upstreams.contains(id)}});
    }
    it->answer({{"upstreams", upstreams}, {"version", text(to_string(state->applied))}});
}

void admin_api::list_tokens(const exchange_pointer& it)
{
    QJsonArray tokens;
    for (const auto& [digest, token] : group_.state()->configuration.tokens)
        tokens.append(configuration::wire::to_json(token));
    it->answer({{"tokens", tokens}, {"version", text(to_string(group_.state()->applied))}});
}

void admin_api::show_usage(const exchange_pointer& it)
{
    const auto format = it->query("format");
    if (!format.empty() && format != "csv" && format != "json")
        throw core::invalid_input("format", format, R"("csv" or "json")");
    auto totals = accounting::totals(group_.usage());
    // Senders without the administer role see only their own usage.
    if (it->owner().assigned_role < role::administer)
        std::erase_if(totals, [&](const auto& entry) { return entry.first.neighbour != it->owner().owner; });
    if (format == "csv")
        it->answer(usage_csv(group_.usage(), totals), "text/csv");
    else
        it->answer({{"usage", usage_json(group_.usage(), totals)}});
}

void admin_api::show_history(const exchange_pointer& it)
{
    QJsonArray history;
    for (const auto& record : group_.command_history().changes)
        history.append(configuration::wire::to_json(*record));
    it->answer({{"history", history}});
}

void admin_api::show_rollout(const exchange_pointer& it)
{
    const auto version =
        it->query("version").empty() ? group_.state()->applied : parse_version("version", it->query("version"));
    QJsonArray processes;
    QJsonArray lagging;
    for (const auto& process : rollout_.processes()) {
        const bool applied = process.applied >= version;
        processes.append(QJsonObject{{"name", text(process.name)},
            {"role", process.role == membership::process_role::agent ? "agent" : "balancer"},
            {"domain", text(process.domain.value())}, {"applied", text(to_string(process.applied))}});
        if (!applied)
            lagging.append(text(process.name));
    }
    const bool complete = rollout_.is_complete();
    it->answer({{"version", text(to_string(version))}, {"complete", complete},
        {"in_force", complete && lagging.isEmpty()}, {"processes", processes}, {"lagging", lagging}});
}

// --- The control group

void admin_api::show_control(const exchange_pointer& it)
{
    it->answer(group_.report());
}

void admin_api::add_control(const exchange_pointer& it)
{
    replication::member added;
    added.id = core::control_id(parse_number("id", it->name()));
    added.peer_endpoint = parse_endpoint("peer_endpoint", it->text_field("peer_endpoint"));
    added.admin_endpoint = parse_endpoint("admin_endpoint", it->text_field("admin_endpoint"));
    constexpr std::size_t max_members = 9;
    const auto& members = group_.node().configuration().members;
    const auto present = std::find_if(members.begin(), members.end(), [&](const auto& m) { return m.id == added.id; });
    // When the request is sent again, the member is already in the group. The answer is the same as the first time.
    if (present != members.end() && present->peer_endpoint == added.peer_endpoint
        && present->admin_endpoint == added.admin_endpoint) {
        it->answer({{"outcome", "accepted"}});
        return;
    }
    if (added.id.value() == 0 || members.size() >= max_members)
        throw core::invalid_input("id", it->name(), "a number from 1, and at most 9 members");
    group_.add_member(added, answer_member_change(it));
}

void admin_api::remove_control(const exchange_pointer& it)
{
    group_.remove_member(core::control_id(parse_number("id", it->name())), answer_member_change(it));
}

replicated_control_group::member_change_callback admin_api::answer_member_change(const exchange_pointer& it)
{
    return [this, it](replication::proposal_status result) {
        switch (result) {
        case replication::proposal_status::appended:
            it->answer({{"outcome", "accepted"}});
            break;
        case replication::proposal_status::not_leader:
            answer_not_leader(it);
            break;
        case replication::proposal_status::busy:
            it->answer_error(status::ServiceUnavailable, "another change of the control group is in progress");
            break;
        case replication::proposal_status::not_allowed:
            it->answer_error(status::BadRequest,
                "the member is already in the group or not in it, or the remaining voters do not answer", "id");
            break;
        }
    };
}

} // namespace ibisdyke::frontends
