#include "command_session.h"

#include "text_table.h"

#include "ibisdyke/core/error.h"

#include <QEventLoop>
#include <QJsonDocument>
#include <QTimer>
#include <QUuid>

#include <iostream>
#include <utility>

namespace ibisdyke::ctl {

namespace {

constexpr core::milliseconds rollout_poll{50};

} // namespace

admin_client& command_session::client()
{
    if (options_.admin.empty())
        throw core::invalid_input("--admin", "", "a comma-separated list of administration addresses");
    if (!client_)
        client_ = std::make_unique<admin_client>(options_.admin, options_.token, options_.timeout);
    return *client_;
}

admin_response command_session::get(const std::string& path, const QUrlQuery& query)
{
    return client().send({"GET", path, query, {}});
}

void command_session::print_json(const QJsonObject& it) const
{
    std::cout << QJsonDocument(it).toJson(QJsonDocument::Indented).toStdString();
}

ctl_exit_code command_session::report_error(const admin_response& response) const
{
    const auto message = response.json.value("error").toString().toStdString();
    std::cerr << (message.empty() ? "the control process answered " + std::to_string(response.status) : message)
              << '\n';
    if (response.status == status_conflict) {
        std::cerr << "present revision: " << to_text(response.json.value("present_revision")) << '\n';
        return ctl_exit_code::conflict;
    }
    return response.status == status_bad_request ? ctl_exit_code::bad_input : ctl_exit_code::failure;
}

ctl_exit_code command_session::show(const std::string& path, const char* list, const std::vector<const char*>& fields)
{
    const auto response = get(path);
    if (response.status != status_ok)
        return report_error(response);
    if (options_.json)
        print_json(response.json);
    else
        std::cout << format_table(list_rows(response.json.value(list).toArray(), fields));
    return ctl_exit_code::success;
}

std::string command_session::command_id() const
{
    if (!options_.command_id.empty())
        return options_.command_id;
    return QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
}

ctl_exit_code command_session::change(
    const std::string& method, const std::string& path, QJsonObject body, QUrlQuery query)
{
    const auto id = QString::fromStdString(command_id());
    if (method == "DELETE")
        query.addQueryItem("command_id", id);
    else
        body.insert("command_id", id);
    const auto begin = std::chrono::steady_clock::now();
    const auto response = client().send({method, path, query, body});
    if (response.status != status_ok)
        return report_error(response);
    const auto version = response.json.value("version").toString().toStdString();
    if (options_.wait && !version.empty())
        return wait_until_in_force(version, begin);
    if (options_.json)
        print_json(response.json);
    else
        std::cout << "accepted" << (version.empty() ? "" : " at version " + version) << '\n';
    return ctl_exit_code::success;
}

ctl_exit_code command_session::wait_until_in_force(
    const std::string& version, std::chrono::steady_clock::time_point begin)
{
    QUrlQuery query;
    query.addQueryItem("version", QString::fromStdString(version));
    while (true) {
        const auto response = get("rollout", query);
        if (response.status != status_ok)
            return report_error(response);
        const auto took = std::chrono::duration_cast<core::milliseconds>(std::chrono::steady_clock::now() - begin);
        const bool in_force = response.json.value("in_force").toBool();
        if (!in_force && took < options_.wait_limit) {
            pause(rollout_poll);
            continue;
        }
        auto result = response.json;
        result.insert("took_ms", static_cast<qint64>(took.count()));
        if (options_.json) {
            print_json(result);
        } else {
            std::cout << "version " << version << (in_force ? " in force everywhere" : " not in force everywhere")
                      << " after " << took.count() << " ms\n";
            for (const auto& name : response.json.value("lagging").toArray())
                std::cout << "lagging: " << to_text(name) << '\n';
            if (!in_force && !response.json.value("complete").toBool())
                std::cout << "the leader has not heard from every process yet\n";
        }
        return in_force ? ctl_exit_code::success : ctl_exit_code::failure;
    }
}

std::string to_text(const QJsonValue& it)
{
    if (it.isString())
        return it.toString().toStdString();
    if (it.isBool())
        return it.toBool() ? "yes" : "no";
    if (it.isDouble())
        return QString::number(it.toDouble(), 'g', 15).toStdString();
    if (it.isNull() || it.isUndefined())
        return "-";
    const auto document = it.isArray() ? QJsonDocument(it.toArray()) : QJsonDocument(it.toObject());
    return document.toJson(QJsonDocument::Compact).toStdString();
}

table_rows list_rows(const QJsonArray& list, const std::vector<const char*>& fields)
{
    table_rows result{{fields.begin(), fields.end()}};
    for (const auto& it : list) {
        std::vector<std::string> row;
        row.reserve(fields.size());
        for (const auto* const field : fields)
            row.push_back(to_text(it.toObject().value(field)));
        result.push_back(std::move(row));
    }
    return result;
}

void pause(core::milliseconds time)
{
    QEventLoop loop;
    QTimer::singleShot(time, &loop, &QEventLoop::quit);
    loop.exec();
}

} // namespace ibisdyke::ctl
