#include "ibisdyke/frontends/discovery/heartbeat_sender.h"
#include "ibisdyke/observability/counter_registry.h"
#include "ibisdyke/testing/control_cluster.h"

#include <QCryptographicHash>

#include <catch2/catch.hpp>

#include <array>

using namespace ibisdyke;
using testing::control_cluster;

namespace {

/// Runs one control process and sends requests to its administration API.
class admin_api_fixture {
public:
    admin_api_fixture()
    {
        cluster_.start_all();
        REQUIRE(control_cluster::wait_until([&] { return send("GET", "/v1/profiles").status == 200; }, 5000));
    }

    control_cluster::response send(const QByteArray& method, const QString& path, const QJsonObject& body = {})
    {
        return cluster_.send(1, method, path, body);
    }

    static QString digest(const char* token)
    {
        return QCryptographicHash::hash(token, QCryptographicHash::Sha256).toHex();
    }

    /// Changes the neighbour and role of the token that the requests use. Adds another administrator token first, so
    /// that an administrator remains.
    void change_own_token(const QString& neighbour, const QString& role)
    {
        REQUIRE(send("PUT", "/v1/tokens/" + digest("other"),
                    {{"command_id", "become-1"}, {"neighbour", "ops"}, {"role", "administer"}})
                    .status
            == 200);
        REQUIRE(send("PUT", "/v1/tokens/" + digest("test-token"),
                    {{"command_id", "become-2"}, {"neighbour", neighbour}, {"role", role}})
                    .status
            == 200);
    }

    void put_service(const QString& name, const QString& owner)
    {
        REQUIRE(send("PUT", "/v1/services/" + name,
                    {{"command_id", "service-" + name},
                        {"document", QJsonObject{{"name", name}, {"profile", "gold"}, {"owner", owner}}}})
                    .status
            == 200);
    }

    /// Announces an upstream of the service and returns its id.
    QString announce(const QString& service, std::uint16_t port)
    {
        membership::heartbeat it;
        it.sender_role = membership::process_role::agent;
        it.sender = core::incarnation(port);
        it.name = service.toStdString() + "-host";
        it.service = service.toStdString();
        it.packet_endpoint = core::endpoint::create("127.0.0.1:" + std::to_string(port));
        std::optional<core::upstream_id> id;
        senders_.push_back(std::make_unique<frontends::heartbeat_sender>(
            std::vector{core::endpoint::create(cluster_.peer(1).toStdString())}, 0, counters_, nullptr,
            [it] { return it; }, [&id](const auto& answer) { id = answer.upstream; }, nullptr));
        senders_.back()->start();
        REQUIRE(control_cluster::wait_until([&] { return id.has_value(); }, 5000));
        senders_.pop_back();
        return QString::number(id->value());
    }

    int argc_ = 1;
    std::array<char, 5> name_{"test"};
    std::array<char*, 2> argv_{name_.data(), nullptr};
    QCoreApplication application_{argc_, argv_.data()};
    control_cluster cluster_{1};
    observability::counter_registry counters_;
    std::vector<std::unique_ptr<frontends::heartbeat_sender>> senders_;
};

} // namespace

// The operator must learn from the error which field to correct.
TEST_CASE_METHOD(admin_api_fixture, "bad input gets status 400 and names the field")
{
    const auto field_of = [&](const QString& path, const QJsonObject& body) {
        const auto response = send("PUT", path, body);
        CHECK(response.status == 400);
        return response.json["field"].toString();
    };
    CHECK(field_of("/v1/profiles/gold", {{"command_id", "1"}, {"based_on", 0}}) == "document");
    CHECK(field_of("/v1/profiles/gold",
              {{"command_id", "1"}, {"based_on", 0}, {"document", QJsonObject{{"name", "gold"}, {"queue", 1}}}})
        == "queue");
    CHECK(field_of("/v1/profiles/gold",
              {{"command_id", "1"}, {"based_on", 0}, {"document", QJsonObject{{"name", "silver"}}}})
        == "document.name");
    CHECK(
        field_of("/v1/profiles/gold", {{"based_on", 0}, {"document", QJsonObject{{"name", "gold"}}}}) == "command_id");
    CHECK(field_of("/v1/domains/zone", {{"command_id", "2"}, {"state", "gone"}}) == "state");
    CHECK(field_of("/v1/services/desk",
              {{"command_id", "3"}, {"document", QJsonObject{{"name", "desk"}, {"profile", "none"}}}})
        == "profile");
    CHECK(field_of("/v1/tokens/abc", {{"command_id", "4"}, {"neighbour", "n"}, {"role", "read"}}) == "digest");
    // A cold start that no decision can add to the present time must not reach the replicated log.
    const auto cold_start = [](const char* name, double value) {
        return QJsonObject{
            {"command_id", "5"}, {"document", QJsonObject{{"name", "desk"}, {"profile", "gold"}, {name, value}}}};
    };
    CHECK(field_of("/v1/services/desk", cold_start("cold_start_ms", 9e15)) == "cold_start_ms");
    CHECK(field_of("/v1/services/desk", cold_start("cold_start_ms", -1)) == "cold_start_ms");
    CHECK(
        field_of("/v1/services/desk", cold_start("cold_start_flows_per_second", -1)) == "cold_start_flows_per_second");
}

TEST_CASE_METHOD(admin_api_fixture, "unknown paths, methods and tokens are refused")
{
    CHECK(send("GET", "/v1/nothing").status == 404);
    CHECK(send("GET", "/v2/profiles").status == 404);
    CHECK(send("DELETE", "/v1/usage").status == 405);
    CHECK(send("GET", "/v1/profiles/none").status == 404);
    CHECK(send("PUT", "/v1/upstreams/77", {{"command_id", "1"}, {"drained", true}}).status == 404);
}

TEST_CASE_METHOD(admin_api_fixture, "a body that is too large gets status 413")
{
    CHECK(send("PUT", "/v1/profiles/gold", {{"command_id", QString(2'000'000, 'x')}}).status == 413);
}

// A token must allow no more than its role. Otherwise the token of a caller could change the configuration.
TEST_CASE_METHOD(admin_api_fixture, "a token allows what its role allows")
{
    change_own_token("ops", "operate");
    CHECK(send("PUT", "/v1/domains/zone", {{"command_id", "c"}, {"state", "out"}}).status == 200);
    CHECK(send("PUT", "/v1/profiles/gold", control_cluster::profile_command("gold", 0, "d")).status == 403);
    CHECK(send("GET", "/v1/tokens").status == 403);
    CHECK(send("GET", "/v1/usage").status == 200);
}

TEST_CASE_METHOD(admin_api_fixture, "a rollout without processes is in force")
{
    const auto put = send("PUT", "/v1/profiles/gold", control_cluster::profile_command("gold", 0, "a"));
    REQUIRE(put.status == 200);
    const auto path = "/v1/rollout?version=" + put.json["version"].toString();
    CHECK(control_cluster::wait_until([&] { return send("GET", path).json["in_force"].toBool(); }, 10'000));
    CHECK(send("GET", "/v1/rollout?version=x").status == 400);
}

// A neighbour must neither see nor drain the upstreams of a service that belongs to another neighbour.
TEST_CASE_METHOD(admin_api_fixture, "a neighbour acts on its own services and those without an owner")
{
    REQUIRE(send("PUT", "/v1/profiles/gold", control_cluster::profile_command("gold", 0, "p")).status == 200);
    put_service("formula-desk", "riechwerk");
    put_service("dispatch", "moto-salama");
    put_service("status", "");
    const auto own = announce("formula-desk", 7001);
    const auto foreign = announce("dispatch", 7002);
    const auto shared = announce("status", 7003);
    change_own_token("riechwerk", "operate");
    const auto drain = [&](const QString& id) {
        return send("PUT", "/v1/upstreams/" + id, {{"command_id", "drain-" + id}, {"drained", true}}).status;
    };
    CHECK(drain(own) == 200);
    CHECK(drain(shared) == 200);
    CHECK(drain(foreign) == 404);
    const auto names = [&](const QString& list, const QString& field) {
        QStringList result;
        for (const auto& it : send("GET", "/v1/" + list).json[list].toArray())
            result.append(it.toObject()[field].toString());
        result.sort();
        return result;
    };
    CHECK(names("services", "name") == QStringList{"formula-desk", "status"});
    CHECK(names("upstreams", "service") == QStringList{"formula-desk", "status"});
}
