#include "measure/experiments/operator_commands.h"

#include "ibisdyke/core/error.h"
#include "measure/support/clock.h"
#include "measure/support/event_wait.h"

#include <QCryptographicHash>
#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <iostream>
#include <utility>

namespace ibisdyke::measure {

namespace {

constexpr core::milliseconds command_timeout{10'000};

constexpr int first_success = 200;
constexpr int first_redirection = 300;
constexpr int status_conflict = 409;

const std::string default_profile = "default";

bool is_success(const operator_answer& it)
{
    return it.status >= first_success && it.status < first_redirection;
}

QString text(const std::string& it)
{
    return QString::fromStdString(it);
}

std::string profile_name(const service_spec& it)
{
    if (it.profile.isEmpty())
        return default_profile;
    return it.profile.value("name").toString(text(it.name)).toStdString();
}

std::string describe(const operator_answer& it)
{
    return "status " + std::to_string(it.status) + " "
        + QJsonDocument(it.body).toJson(QJsonDocument::Compact).toStdString();
}

/// Returns the id of the live upstream with this name, or an empty string.
QString find_upstream(const QJsonObject& list, const std::string& name)
{
    for (const auto& entry : list.value("upstreams").toArray()) {
        const auto it = entry.toObject();
        if (it.value("name").toString() == text(name) && it.value("state").toString() != "gone")
            return it.value("id").toString();
    }
    return {};
}

} // namespace

operator_commands::operator_commands(running_system& system, observer& system_observer, QObject* parent)
    : QObject(parent)
    , system_(system)
    , observer_(system_observer)
{
}

void operator_commands::set_up()
{
    wait_for_token();
    for (const auto& it : system_.deployment().services) {
        const auto name = profile_name(it);
        if (revisions_.contains(name))
            continue;
        documents_[name] = it.profile;
        put_and_wait("/v1/profiles/" + name, {{"based_on", 0}, {"document", profile_document(name, it.profile)}});
        revisions_[name] = 1;
    }
    for (std::size_t i = 0; i < system_.deployment().services.size(); ++i) {
        const auto& it = system_.deployment().services[i];
        const auto address = text(to_string(address_plan::service_address(i)));
        const QJsonArray addresses{QJsonObject{{"address", address}, {"protocol", "tcp"}},
            QJsonObject{{"address", address}, {"protocol", "udp"}}};
        const QJsonObject document{
            {"name", text(it.name)}, {"profile", text(profile_name(it))}, {"addresses", addresses}};
        put_and_wait("/v1/services/" + it.name, {{"document", document}});
    }
    const auto digest =
        QCryptographicHash::hash(QByteArray::fromStdString(running_system::caller_token()), QCryptographicHash::Sha256);
    put_and_wait("/v1/tokens/" + digest.toHex().toStdString(), {{"neighbour", "measure"}, {"role", "caller"}});
}

void operator_commands::set_domain(const std::string& name, bool in, std::function<void(core::time_point)> accepted)
{
    put("/v1/domains/" + name, {{"state", in ? "in" : "out"}},
        [this, then = std::move(accepted)](const auto& it) { count_outcome(it, then); });
}

void operator_commands::set_draining(
    const std::string& upstream, bool draining, std::function<void(core::time_point)> accepted)
{
    ++waiting_;
    system_.operators().get("/v1/upstreams", command_timeout,
        [this, upstream, draining, then = std::move(accepted)](const operator_answer& it) {
            --waiting_;
            const auto id = find_upstream(it.body, upstream);
            if (id.isEmpty()) {
                std::cerr << "no live upstream is named " << upstream << ": " << describe(it) << '\n';
                ++failed_;
                return;
            }
            put("/v1/upstreams/" + id.toStdString(), {{"drained", draining}},
                [this, then](const auto& answer) { count_outcome(answer, then); });
        });
}

void operator_commands::apply(const trace_event& it)
{
    const auto command = it.command.empty() ? next_command() : it.command;
    auto& body = bodies_[command];
    if (body.isEmpty()) {
        const auto based_on = it.revision.value_or(revisions_[it.target]);
        body = {{"command_id", text(command)}, {"based_on", static_cast<qint64>(based_on)},
            {"document", profile_document(it.target, it.profile)}};
    }
    const auto revision = static_cast<std::uint64_t>(body.value("based_on").toInteger()) + 1;
    put("/v1/profiles/" + it.target, body, [this, name = it.target, revision](const auto& answer) {
        if (is_success(answer))
            revisions_[name] = std::max(revisions_[name], revision);
        count_outcome(answer, {});
    });
}

std::uint64_t operator_commands::count_lost_revisions()
{
    std::uint64_t lost = 0;
    for (const auto& [name, revision] : revisions_) {
        bool done = false;
        system_.operators().get(
            "/v1/profiles/" + name, command_timeout, [&, expected = revision](const operator_answer& it) {
                done = true;
                const auto document = it.body.value("profile").toObject();
                if (is_success(it) && document.value("revision").toInteger() < static_cast<qint64>(expected))
                    ++lost;
            });
        wait_until([&] { return done; }, command_timeout + command_timeout);
    }
    return lost;
}

void operator_commands::put(const std::string& path, QJsonObject body, std::function<void(const operator_answer&)> done)
{
    if (!body.contains("command_id"))
        body.insert("command_id", text(next_command()));
    ++waiting_;
    system_.operators().put(
        path, body, command_timeout, [this, path, then = std::move(done)](const operator_answer& it) {
            --waiting_;
            if (!is_success(it) && it.status != status_conflict)
                std::cerr << "command " << path << ": " << describe(it) << '\n';
            then(it);
        });
}

void operator_commands::wait_for_token()
{
    // The API answers 401 until the first administrator's token is committed to the replicated log.
    const auto end = read_clock() + command_timeout;
    bool known = false;
    while (!known && read_clock() < end) {
        bool done = false;
        system_.operators().get("/v1/control", command_timeout, [&](const operator_answer& it) {
            known = is_success(it);
            done = true;
        });
        wait_until([&] { return done; }, command_timeout + command_timeout);
    }
}

void operator_commands::put_and_wait(const std::string& path, const QJsonObject& body)
{
    operator_answer answer;
    bool done = false;
    put(path, body, [&](const auto& it) {
        answer = it;
        done = true;
    });
    wait_until([&] { return done; }, command_timeout + command_timeout);
    if (!is_success(answer))
        throw core::system_failure("cannot set up " + path + ": " + describe(answer));
}

void operator_commands::count_outcome(
    const operator_answer& answer, const std::function<void(core::time_point)>& accepted)
{
    const auto now = read_clock();
    if (answer.status == status_conflict) {
        ++conflicts_;
        return;
    }
    if (!is_success(answer)) {
        ++failed_;
        return;
    }
    ++accepted_;
    try {
        const auto at = parse_version(answer.body.value("version").toString().toStdString());
        newest_ = std::max(newest_, at);
        observer_.configuration().add_accepted(at, now);
    } catch (const core::invalid_input& it) {
        std::cerr << "the answer to an accepted command has no valid version: " << it.what() << '\n';
        ++failed_;
    }
    if (accepted)
        accepted(now);
}

std::string operator_commands::next_command()
{
    return "measure-" + std::to_string(next_command_++);
}

QJsonObject operator_commands::profile_document(const std::string& name, const QJsonObject& wanted)
{
    auto result = wanted.isEmpty() ? documents_[name] : wanted;
    result.insert("name", text(name));
    if (wanted.isEmpty() && next_command_ > 0) {
        // Without a document, varies a field that does not affect the measured results.
        constexpr int queue_age_limit_ms = 100;
        result.insert("queue_age_limit_ms", queue_age_limit_ms + static_cast<int>(next_command_ % queue_age_limit_ms));
    }
    return result;
}

} // namespace ibisdyke::measure
