#include "document_commands.h"

#include "input_file.h"
#include "text_table.h"

#include "ibisdyke/configuration/validation.h"
#include "ibisdyke/configuration/wire/json_codec.h"
#include "ibisdyke/configuration/wire/json_document.h"
#include "ibisdyke/core/error.h"

#include <iostream>

namespace ibisdyke::ctl {

namespace {

QJsonObject read_document(const std::string& name)
{
    return configuration::wire::parse_json_object(name, read_file(name));
}

configuration::profile read_profile(command_session& session)
{
    auto result = configuration::wire::profile_from_json(read_document(session.argument(0)));
    configuration::validate(result);
    return result;
}

std::uint64_t based_on(command_session& session, const QJsonObject& document)
{
    if (session.options().based_on.empty())
        return static_cast<std::uint64_t>(document.value("revision").toInteger(0));
    bool ok = false;
    const auto result = QString::fromStdString(session.options().based_on).toULongLong(&ok);
    if (!ok)
        throw core::invalid_input("--based-on", session.options().based_on, "a revision number");
    return result;
}

} // namespace

ctl_exit_code profile_list(command_session& session)
{
    return session.show("profiles", "profiles",
        {"name", "revision", "cold_start_share", "cold_start_ramp_ms", "drain_limit_ms", "retry_budget",
            "queue_per_slot", "queue_age_limit_ms", "mass_expiry_limit"});
}

ctl_exit_code profile_show(command_session& session)
{
    const auto response = session.get("profiles/" + session.argument(0));
    if (response.status != status_ok)
        return session.report_error(response);
    if (session.options().json) {
        session.print_json(response.json);
        return ctl_exit_code::success;
    }
    session.print_json(response.json.value("profile").toObject());
    std::cout << format_table(
        list_rows(response.json.value("history").toArray(), {"at", "made_at_ms", "author", "command_id"}));
    return ctl_exit_code::success;
}

ctl_exit_code profile_put(command_session& session)
{
    const auto document = read_document(session.argument(0));
    const auto profile = configuration::wire::profile_from_json(document);
    configuration::validate(profile);
    return session.change("PUT", "profiles/" + profile.name,
        {{"document", document}, {"based_on", static_cast<qint64>(based_on(session, document))}});
}

ctl_exit_code profile_check(command_session& session)
{
    const auto profile = read_profile(session);
    std::cout << "profile \"" << profile.name << "\" is valid\n";
    return ctl_exit_code::success;
}

ctl_exit_code profile_diff(command_session& session)
{
    const auto wanted = configuration::wire::to_json(read_profile(session));
    const auto response = session.get("profiles/" + wanted.value("name").toString().toStdString());
    if (response.status != status_ok && response.status != status_not_found)
        return session.report_error(response);
    const auto present = response.json.value("profile").toObject();
    table_rows result{{"field", "present", "file"}};
    for (auto it = wanted.begin(); it != wanted.end(); ++it) {
        const auto known = present.value(it.key());
        if (known != it.value())
            result.push_back({it.key().toStdString(), to_text(known), to_text(it.value())});
    }
    if (session.options().json) {
        QJsonObject changed;
        for (std::size_t i = 1; i < result.size(); ++i)
            changed.insert(QString::fromStdString(result[i][0]),
                QJsonObject{
                    {"present", QString::fromStdString(result[i][1])}, {"file", QString::fromStdString(result[i][2])}});
        session.print_json(changed);
    } else {
        std::cout << (result.size() == 1 ? "no difference\n" : format_table(result));
    }
    return ctl_exit_code::success;
}

ctl_exit_code profile_remove(command_session& session)
{
    QUrlQuery query;
    if (session.options().based_on.empty())
        throw core::invalid_input("--based-on", "", "the present revision of the profile");
    query.addQueryItem("based_on", QString::fromStdString(session.options().based_on));
    return session.change("DELETE", "profiles/" + session.argument(0), {}, query);
}

ctl_exit_code service_list(command_session& session)
{
    return session.show("services", "services", {"id", "name", "profile", "owner", "addresses"});
}

ctl_exit_code service_put(command_session& session)
{
    const auto document = read_document(session.argument(0));
    const auto service = configuration::wire::service_from_json(document);
    configuration::validate(service);
    return session.change("PUT", "services/" + service.name, {{"document", document}});
}

ctl_exit_code service_remove(command_session& session)
{
    return session.change("DELETE", "services/" + session.argument(0), {});
}

} // namespace ibisdyke::ctl
