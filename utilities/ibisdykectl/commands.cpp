#include "commands.h"

#include "command_session.h"
#include "document_commands.h"
#include "plan_commands.h"
#include "text_table.h"

#include "ibisdyke/configuration/token_digest.h"
#include "ibisdyke/configuration/validation.h"
#include "ibisdyke/configuration/wire/json_codec.h"
#include "ibisdyke/core/error.h"

#include <QJsonDocument>

#include <algorithm>
#include <iostream>
#include <set>

namespace ibisdyke::ctl {

namespace {

constexpr core::milliseconds watch_period{1000};

/// A command of the command line. `name` is empty for commands of one word.
struct command {
    const char* group;
    const char* name;
    const char* arguments;
    std::size_t argument_count;
    ctl_exit_code (*run)(command_session&);
};

ctl_exit_code set_domain(command_session& session, const char* state)
{
    configuration::validate_name("NAME", session.argument(0));
    return session.change("PUT", "domains/" + session.argument(0), {{"state", state}});
}

ctl_exit_code domain_out(command_session& session)
{
    return set_domain(session, "out");
}

ctl_exit_code domain_close(command_session& session)
{
    return set_domain(session, "closed");
}

ctl_exit_code domain_in(command_session& session)
{
    return set_domain(session, "in");
}

ctl_exit_code domain_status(command_session& session)
{
    return session.show("domains", "domains", {"name", "state"});
}

ctl_exit_code upstream_list(command_session& session)
{
    return session.show("upstreams", "upstreams",
        {"id", "name", "service", "domain", "state", "drained", "slots", "packet_endpoint", "request_endpoint"});
}

/// Returns the id of the upstream that the first argument names by id or by name.
std::string upstream_id(command_session& session)
{
    const auto& wanted = session.argument(0);
    if (std::all_of(wanted.begin(), wanted.end(), [](char c) { return c >= '0' && c <= '9'; }))
        return wanted;
    std::set<std::string> found;
    for (const auto& it : session.get("upstreams").json.value("upstreams").toArray()) {
        const auto upstream = it.toObject();
        if (to_text(upstream.value("name")) == wanted && to_text(upstream.value("state")) != "gone")
            found.insert(to_text(upstream.value("id")));
    }
    if (found.size() != 1)
        throw core::invalid_input("ID-OR-NAME", wanted,
            found.empty() ? "the id or name of a live upstream" : "an id, because several upstreams have this name");
    return *found.begin();
}

ctl_exit_code set_upstream(command_session& session, bool drained)
{
    return session.change("PUT", "upstreams/" + upstream_id(session), {{"drained", drained}});
}

ctl_exit_code upstream_drain(command_session& session)
{
    return set_upstream(session, true);
}

ctl_exit_code upstream_undrain(command_session& session)
{
    return set_upstream(session, false);
}

ctl_exit_code token_list(command_session& session)
{
    return session.show("tokens", "tokens", {"digest", "neighbour", "role"});
}

ctl_exit_code token_put(command_session& session)
{
    configuration::validate_name("--neighbour", session.options().neighbour);
    configuration::wire::role_from_string(session.options().role);
    // The request contains only the token's digest, not the token.
    return session.change("PUT", "tokens/" + configuration::token_digest(session.argument(0)),
        {{"neighbour", QString::fromStdString(session.options().neighbour)},
            {"role", QString::fromStdString(session.options().role)}});
}

ctl_exit_code token_remove(command_session& session)
{
    return session.change("DELETE", "tokens/" + session.argument(0), {});
}

ctl_exit_code usage(command_session& session)
{
    if (!session.options().csv)
        return session.show("usage", "usage",
            {"neighbour", "service", "hour", "flows", "packets", "bytes", "requests", "slot_milliseconds",
                "span_hours"});
    QUrlQuery query;
    query.addQueryItem("format", "csv");
    const auto response = session.get("usage", query);
    if (response.status != status_ok)
        return session.report_error(response);
    std::cout << response.content.toStdString();
    return ctl_exit_code::success;
}

ctl_exit_code history(command_session& session)
{
    return session.show("history", "history", {"at", "made_at_ms", "author", "kind", "name", "command_id"});
}

ctl_exit_code control_status(command_session& session)
{
    const auto response = session.get("control");
    if (response.status != status_ok)
        return session.report_error(response);
    if (session.options().json) {
        session.print_json(response.json);
        return ctl_exit_code::success;
    }
    std::cout << "leader " << to_text(response.json.value("leader")) << ", term "
              << to_text(response.json.value("term")) << ", committed " << to_text(response.json.value("committed"))
              << '\n';
    std::cout << format_table(
        list_rows(response.json.value("members").toArray(), {"id", "role", "peer", "admin", "matched"}));
    return ctl_exit_code::success;
}

ctl_exit_code control_add(command_session& session)
{
    return session.change("PUT", "control/" + session.argument(0),
        {{"peer_endpoint", QString::fromStdString(session.argument(1))},
            {"admin_endpoint", QString::fromStdString(session.argument(2))}});
}

ctl_exit_code control_remove(command_session& session)
{
    return session.change("DELETE", "control/" + session.argument(0), {});
}

ctl_exit_code watch(command_session& session)
{
    while (true) {
        const auto rollout = session.get("rollout");
        if (rollout.status != status_ok)
            return session.report_error(rollout);
        if (session.options().json) {
            std::cout << QJsonDocument(rollout.json).toJson(QJsonDocument::Compact).toStdString() << std::endl;
        } else {
            const auto processes = rollout.json.value("processes").toArray().size();
            const auto lagging = rollout.json.value("lagging").toArray();
            std::cout << "version " << to_text(rollout.json.value("version")) << ", processes " << processes
                      << ", lagging " << lagging.size();
            for (const auto& name : lagging)
                std::cout << ' ' << to_text(name);
            std::cout << std::endl;
        }
        pause(watch_period);
    }
}

const std::vector<command>& commands()
{
    static const std::vector<command> all{
        {"profile", "list", "", 0, &profile_list},
        {"profile", "show", "NAME", 1, &profile_show},
        {"profile", "put", "FILE", 1, &profile_put},
        {"profile", "check", "FILE", 1, &profile_check},
        {"profile", "diff", "FILE", 1, &profile_diff},
        {"profile", "remove", "NAME", 1, &profile_remove},
        {"plan", "check", "FILE --front-end NAME [--against FILE]", 1, &plan_check},
        {"service", "list", "", 0, &service_list},
        {"service", "put", "FILE", 1, &service_put},
        {"service", "remove", "NAME", 1, &service_remove},
        {"domain", "out", "NAME", 1, &domain_out},
        {"domain", "close", "NAME", 1, &domain_close},
        {"domain", "in", "NAME", 1, &domain_in},
        {"domain", "status", "", 0, &domain_status},
        {"upstream", "list", "", 0, &upstream_list},
        {"upstream", "drain", "ID-OR-NAME", 1, &upstream_drain},
        {"upstream", "undrain", "ID-OR-NAME", 1, &upstream_undrain},
        {"token", "list", "", 0, &token_list},
        {"token", "put", "TOKEN --neighbour NAME --role ROLE", 1, &token_put},
        {"token", "remove", "DIGEST", 1, &token_remove},
        {"control", "status", "", 0, &control_status},
        {"control", "add", "ID PEER-ENDPOINT ADMIN-ENDPOINT", 3, &control_add},
        {"control", "remove", "ID", 1, &control_remove},
        {"usage", "", "[--csv]", 0, &usage},
        {"history", "", "", 0, &history},
        {"watch", "", "", 0, &watch},
    };
    return all;
}

} // namespace

ctl_exit_code run_command(const ctl_options& options)
{
    command_session session(options);
    const auto& given = options.arguments;
    for (const auto& it : commands()) {
        const bool single = *it.name == '\0';
        if (given.empty() || given[0] != it.group || (!single && (given.size() < 2 || given[1] != it.name)))
            continue;
        const auto count = given.size() - (single ? 1 : 2);
        if (count != it.argument_count)
            throw core::invalid_input(given[0], std::to_string(count) + " arguments",
                std::string(it.group) + " " + it.name + " " + it.arguments);
        return it.run(session);
    }
    throw core::invalid_input("COMMAND", given.empty() ? "" : given[0], "one of:\n" + command_help());
}

std::string command_help()
{
    std::string result;
    for (const auto& it : commands()) {
        auto line = std::string("  ") + it.group;
        for (const auto* const part : {it.name, it.arguments}) {
            if (*part != '\0')
                line += std::string(" ") + part;
        }
        result += line + '\n';
    }
    return result;
}

} // namespace ibisdyke::ctl
