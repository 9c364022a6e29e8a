#include "ibisdyke/testing/control_cluster.h"

#include <QDir>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <csignal>

using ibisdyke::testing::control_cluster;

namespace {

constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int status_misdirected = 421;

/// Runs a group of control processes that communicate over loopback.
class cluster_fixture {
public:
    void start(int members, const QStringList& arguments = {})
    {
        cluster_ = std::make_unique<control_cluster>(members);
        cluster_->set_arguments(arguments);
        cluster_->start_all();
        REQUIRE(cluster_->wait_for_leader() != 0);
        // Requests are accepted once the leader has committed the bootstrap token of the settings.
        REQUIRE(cluster_->send_to_leader("GET", "/v1/profiles").status != 0);
        REQUIRE(control_cluster::wait_until(
            [&] { return cluster_->send_to_leader("GET", "/v1/profiles").status == status_ok; }, 5000));
    }

    QStringList profile_names() const
    {
        QStringList result;
        const auto response = cluster_->send_to_leader("GET", "/v1/profiles");
        for (const auto& it : response.json["profiles"].toArray())
            result.append(it.toObject()["name"].toString());
        return result;
    }

    /// Returns whether all members are voters with their current data folders and have applied the same log.
    bool has_converged()
    {
        const auto leader = cluster_->leader();
        if (leader == 0)
            return false;
        const auto status = cluster_->state(leader)["replication"].toObject();
        const auto members = status["members"].toArray();
        return std::all_of(members.begin(), members.end(), [&](const auto& it) {
            const auto member = it.toObject();
            const auto own = cluster_->state(member["id"].toInt())["replication"].toObject();
            return member["role"].toString() == "voter" && member["disk"] == own["disk"]
                && own["committed"] == status["committed"] && own["applied"] == status["applied"];
        });
    }

    int member_other_than(int id) const { return id == 1 ? 2 : 1; }

    int argc_ = 1;
    std::array<char, 5> name_{"test"};
    std::array<char*, 2> argv_{name_.data(), nullptr};
    QCoreApplication application_{argc_, argv_.data()};
    std::unique_ptr<control_cluster> cluster_;
};

} // namespace

// An accepted change must survive the loss of the process that accepted it. Each round kills the leader after five
// changes.
TEST_CASE_METHOD(cluster_fixture, "no accepted change is lost when the leader is killed again and again")
{
    start(3);
    QStringList accepted;
    for (int round = 0; round < 6; ++round) {
        for (int i = 0; i < 5; ++i) {
            const auto name = QString("p%1-%2").arg(round).arg(i);
            REQUIRE(cluster_->put_profile(name, 0, name).status == status_ok);
            accepted.append(name);
        }
        const auto leader = cluster_->wait_for_leader();
        REQUIRE(leader != 0);
        cluster_->kill(leader);
        const auto after = QString("after%1").arg(round);
        REQUIRE(cluster_->put_profile(after, 0, after).status == status_ok);
        accepted.append(after);
        cluster_->start(leader);
        REQUIRE(control_cluster::wait_until([&] { return has_converged(); }, 5000));
    }
    accepted.sort();
    CHECK(profile_names() == accepted);
}

// A process that is killed while it handles changes must not leave a change half applied.
TEST_CASE_METHOD(cluster_fixture, "kills at any time leave every accepted change and no torn state")
{
    start(3);
    QStringList accepted;
    for (int round = 0; round < 8; ++round) {
        const int victim = round % 3 + 1;
        // Each round kills the process a few milliseconds later, and so at a later step of a change.
        QTimer::singleShot(round * 3, &application_, [&] { cluster_->process(victim).kill(); });
        for (int i = 0; i < 8; ++i) {
            const auto name = QString("k%1-%2").arg(round).arg(i);
            REQUIRE(cluster_->put_profile(name, 0, name).status == status_ok);
            accepted.append(name);
        }
        REQUIRE(control_cluster::wait_until([&] { return !cluster_->runs(victim); }, 1000));
        cluster_->start(victim);
        REQUIRE(control_cluster::wait_until([&] { return has_converged(); }, 5000));
    }
    accepted.sort();
    CHECK(profile_names() == accepted);
}

// A leader that resumes after a pause, while another process has become the leader, must neither accept changes nor
// answer reads.
TEST_CASE_METHOD(cluster_fixture, "a leader that was stopped for a while refuses and follows the new one")
{
    start(3);
    const auto old_leader = cluster_->wait_for_leader();
    cluster_->signal(old_leader, SIGSTOP);
    const auto name = QString("during");
    const auto put = control_cluster::profile_command(name, 0, name);
    REQUIRE(control_cluster::wait_until(
        [&] {
            return cluster_->send(member_other_than(old_leader), "PUT", "/v1/profiles/" + name, put).status == status_ok
                || cluster_->send(6 - old_leader - member_other_than(old_leader), "PUT", "/v1/profiles/" + name, put)
                       .status
                == status_ok;
        },
        5000));
    cluster_->signal(old_leader, SIGCONT);
    const auto response = cluster_->send(old_leader, "GET", "/v1/profiles");
    CHECK(response.status == status_misdirected);
    CHECK(control_cluster::wait_until(
        [&] {
            const auto answer = cluster_->send(old_leader, "GET", "/v1/profiles");
            return answer.status == status_misdirected && answer.json.contains("leader");
        },
        3000));
    CHECK(control_cluster::wait_until([&] { return has_converged(); }, 5000));
}

// Processes without a majority must not accept changes, because the other processes would not have them.
TEST_CASE_METHOD(cluster_fixture, "a minority never accepts a change")
{
    start(3);
    const auto survivor = cluster_->wait_for_leader();
    for (int i = 1; i <= 3; ++i) {
        if (i != survivor)
            cluster_->kill(i);
    }
    const auto put = control_cluster::profile_command("lonely", 0, "lonely");
    for (int i = 0; i < 5; ++i)
        CHECK(cluster_->send(survivor, "PUT", "/v1/profiles/lonely", put, 400).status != status_ok);
    CHECK(cluster_->send(survivor, "GET", "/v1/profiles", {}, 400).status != status_ok);
    CHECK(cluster_->ctl({"--timeout-ms", "1000", "profile", "list"}) == 1);
    cluster_->start(member_other_than(survivor));
    CHECK(cluster_->put_profile("together", 0, "together").status == status_ok);
}

TEST_CASE_METHOD(cluster_fixture, "five processes survive the loss of two and not of three")
{
    start(5);
    const auto first = cluster_->wait_for_leader();
    cluster_->kill(first);
    REQUIRE(cluster_->put_profile("one-lost", 0, "one-lost").status == status_ok);
    const auto second = cluster_->wait_for_leader();
    cluster_->kill(second);
    REQUIRE(cluster_->put_profile("two-lost", 0, "two-lost").status == status_ok);
    const auto third = cluster_->wait_for_leader();
    cluster_->kill(third);
    CHECK(cluster_->send_to_leader("GET", "/v1/profiles", {}, 2000).status != status_ok);
    cluster_->start(second);
    CHECK(profile_names() == QStringList{"one-lost", "two-lost"});
}

// When two operators edit the same revision, only one of the edits may be accepted.
TEST_CASE_METHOD(cluster_fixture, "of two operators who race with equal revisions exactly one wins")
{
    start(3);
    REQUIRE(cluster_->put_profile("gold", 0, "create").status == status_ok);
    for (int revision = 1; revision <= 10; ++revision) {
        const auto file =
            cluster_->write_file("gold.json", {{"name", "gold"}, {"revision", revision}, {"queue_per_slot", revision}});
        std::array<QProcess, 2> operators;
        for (auto& it : operators)
            it.start(control_cluster::program("ibisdykectl"),
                {"--admin", cluster_->admin(1) + "," + cluster_->admin(2), "--token", control_cluster::token(),
                    "profile", "put", file});
        std::array<int, 2> codes{};
        for (std::size_t i = 0; i < operators.size(); ++i) {
            REQUIRE(operators.at(i).waitForFinished());
            codes.at(i) = operators.at(i).exitCode();
        }
        std::sort(codes.begin(), codes.end());
        CHECK(codes == std::array<int, 2>{0, 3});
    }
    const auto response = cluster_->send_to_leader("GET", "/v1/profiles/gold");
    CHECK(response.json["profile"].toObject()["revision"].toInt() == 11);
    CHECK(response.json["history"].toArray().size() == 11);
}

// A command that is sent again, because its response was lost, must not take effect twice.
TEST_CASE_METHOD(cluster_fixture, "a resend to another process gets the first outcome")
{
    start(3);
    const auto first = cluster_->put_profile("gold", 0, "same-id");
    REQUIRE(first.status == status_ok);
    const auto lost = cluster_->put_profile("gold", 0, "conflicting");
    REQUIRE(lost.status == status_conflict);
    cluster_->kill(cluster_->wait_for_leader());
    const auto again = cluster_->put_profile("gold", 0, "same-id");
    CHECK(again.status == status_ok);
    CHECK(again.json["version"] == first.json["version"]);
    const auto lost_again = cluster_->put_profile("gold", 0, "conflicting");
    CHECK(lost_again.status == status_conflict);
    CHECK(lost_again.json["present_revision"] == lost.json["present_revision"]);
}

// A snapshot must contain the same state as the log that it replaces.
TEST_CASE_METHOD(cluster_fixture, "all processes restart after hundreds of changes with the same state")
{
    start(3, {"--snapshot-entries", "64"});
    constexpr int changes = 300;
    for (int i = 0; i < changes; ++i)
        REQUIRE(cluster_->put_profile(QString("p%1").arg(i % 50), i / 50, QString("c%1").arg(i), i % 9).status
            == status_ok);
    const auto before = cluster_->send_to_leader("GET", "/v1/profiles").json.value("profiles");
    for (int i = 1; i <= 3; ++i)
        cluster_->kill(i);
    cluster_->start_all();
    REQUIRE(cluster_->wait_for_leader() != 0);
    const auto after = cluster_->send_to_leader("GET", "/v1/profiles");
    CHECK(after.status == status_ok);
    CHECK(after.json["profiles"].toArray().size() == 50);
    CHECK(after.json.value("profiles") == before);
    CHECK(cluster_->put_profile("p7", 0, "c7").status == status_ok);
}

// Accepted changes must survive the loss of a second VM shortly after the first lost VM was repaired.
TEST_CASE_METHOD(cluster_fixture, "a process whose folder was lost holds the state again before it counts")
{
    start(3, {"--snapshot-entries", "16"});
    QStringList accepted;
    for (int i = 0; i < 40; ++i) {
        const auto name = QString("p%1").arg(i, 2, 10, QChar('0'));
        REQUIRE(cluster_->put_profile(name, 0, name).status == status_ok);
        accepted.append(name);
    }
    const auto leader = cluster_->wait_for_leader();
    const auto wiped = member_other_than(leader);
    cluster_->kill(wiped);
    REQUIRE(QDir(cluster_->data(wiped)).removeRecursively());
    cluster_->start(wiped);
    REQUIRE(control_cluster::wait_until([&] { return has_converged(); }, 10'000));
    cluster_->kill(leader);
    REQUIRE(cluster_->wait_for_leader() != 0);
    CHECK(profile_names() == accepted);
}

// A group must be able to move to other VMs, by adding and removing processes.
TEST_CASE_METHOD(cluster_fixture, "a process is added, takes part and is removed")
{
    start(3);
    REQUIRE(cluster_->put_profile("gold", 0, "gold").status == status_ok);
    cluster_->start(4, false);
    REQUIRE(cluster_->ctl({"control", "add", "4", cluster_->peer(4), cluster_->admin(4)}) == 0);
    REQUIRE(control_cluster::wait_until(
        [&] {
            return has_converged() && cluster_->state(4)["replication"].toObject()["members"].toArray().size() == 4;
        },
        5000));
    const auto leader = cluster_->wait_for_leader();
    REQUIRE(cluster_->ctl({"control", "remove", QString::number(member_other_than(leader))}) == 0);
    cluster_->kill(member_other_than(leader));
    CHECK(cluster_->put_profile("silver", 0, "silver").status == status_ok);
    QString output;
    CHECK(cluster_->ctl({"control", "status"}, &output) == 0);
    CHECK(output.contains(cluster_->admin(leader)));
}

// A group must be recoverable from the single data folder that is left. --recover-alone must be refused when it names
// another position than the last one of the log, so that a setting that was left in place does not recover again.
TEST_CASE_METHOD(cluster_fixture, "one folder becomes the whole group after a majority was lost for good")
{
    start(3);
    REQUIRE(cluster_->put_profile("gold", 0, "gold").status == status_ok);
    REQUIRE(control_cluster::wait_until([&] { return has_converged(); }, 5000));
    const auto last = cluster_->state(1)["replication"].toObject()["last"].toString();
    for (int i = 1; i <= 3; ++i)
        cluster_->kill(i);
    cluster_->set_arguments({"--recover-alone", last + "9"});
    cluster_->start(1);
    REQUIRE(control_cluster::wait_until([&] { return !cluster_->runs(1); }, 5000));
    CHECK(cluster_->process(1).exitCode() == 2);
    cluster_->set_arguments({"--recover-alone", last});
    cluster_->start(1);
    REQUIRE(cluster_->wait_for_leader() == 1);
    CHECK(profile_names() == QStringList{"gold"});
    CHECK(cluster_->put_profile("silver", 0, "silver").status == status_ok);
    REQUIRE(QDir(cluster_->data(2)).removeRecursively());
    cluster_->set_arguments({});
    cluster_->start(2, false);
    REQUIRE(cluster_->ctl({"control", "add", "2", cluster_->peer(2), cluster_->admin(2)}) == 0);
    CHECK(control_cluster::wait_until(
        [&] {
            return has_converged() && cluster_->state(2)["replication"].toObject()["members"].toArray().size() == 2;
        },
        5000));
}

// A graceful shutdown must transfer the leadership first. Otherwise the group has no leader for seconds at each planned
// restart.
TEST_CASE_METHOD(cluster_fixture, "a leader that is stopped hands over before it exits")
{
    start(3);
    const auto leader = cluster_->wait_for_leader();
    CHECK(cluster_->stop(leader) == 0);
    CHECK(cluster_->leader() != 0);
}

// Settings and documents that cannot be applied must be refused.
TEST_CASE_METHOD(cluster_fixture, "bad settings and documents end with exit code 2 and name the field")
{
    start(1);
    QString output;
    CHECK(cluster_->ctl({"profile", "put", "/nonexistent"}, &output) == 2);
    const auto file = cluster_->write_file("bad.json", {{"name", "gold"}, {"retry_budget", 2}});
    CHECK(cluster_->ctl({"profile", "check", file}, &output) == 2);
    CHECK(output.contains("retry_budget"));
    QProcess control;
    control.start(control_cluster::program("control"),
        {"--id", "0", "--name", "c", "--failure-domain", "z", "--data", "d", "--listen-peer", "127.0.0.1:1",
            "--listen-admin", "127.0.0.1:2"});
    REQUIRE(control.waitForFinished());
    CHECK(control.exitCode() == 2);
    CHECK(control.readAllStandardError().contains("--id"));
}
