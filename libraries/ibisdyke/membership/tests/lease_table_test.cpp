#include "ibisdyke/membership/lease_table.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <set>

using namespace ibisdyke;
using namespace ibisdyke::membership;
using namespace std::chrono_literals;

namespace {

/// A lease table whose proposals are committed at once, and agents that send a heartbeat every 500 ms.
class lease_fixture {
public:
    lease_fixture()
    {
        auto configuration = std::make_shared<configuration::configuration_state>();
        configuration::profile profile;
        profile.name = "standard";
        configuration->profiles.emplace("standard", profile);
        configuration->services.emplace(
            core::service_id(1), configuration::service{core::service_id(1), "dispatch", "standard", {}});
        configuration->services.emplace(
            core::service_id(2), configuration::service{core::service_id(2), "reports", "standard", {}});
        configuration_ = configuration;
        update();
    }

    heartbeat& agent(const std::string& name, std::uint16_t port, const std::string& service = "dispatch")
    {
        auto& it = agents_[name];
        it.sender_role = process_role::agent;
        it.sender = core::incarnation(next_incarnation_++);
        it.name = name;
        it.domain = core::failure_domain("zone-a");
        it.service = service;
        it.packet_endpoint = {1, port};
        it.request_endpoint = {1, static_cast<std::uint16_t>(port + 1)};
        it.slots = 2;
        return it;
    }

    heartbeat& balancer(const std::string& name, std::uint16_t port)
    {
        auto& it = agents_[name];
        it.sender_role = process_role::balancer;
        it.sender = core::incarnation(next_incarnation_++);
        it.name = name;
        it.peer_endpoint = {1, port};
        return it;
    }

    void agents(int n)
    {
        for (int i = 0; i < n; ++i)
            agent("host-" + std::to_string(i), static_cast<std::uint16_t>(7000 + 10 * i));
    }

    heartbeat_answer send(heartbeat& it)
    {
        ++it.sequence;
        return table_.on_heartbeat(it, now_);
    }

    /// Lets time pass: heartbeats of all agents that are not silent, ticks, and proposals that are committed at once.
    void run(core::milliseconds duration)
    {
        for (const auto end = now_ + duration; now_ < end; now_ += 100ms) {
            if ((now_.time_since_epoch() / 100ms) % 5 == 0)
                send_all();
            table_.tick(now_);
            commit();
        }
    }

    void send_all()
    {
        for (auto& [name, it] : agents_) {
            if (!silent_.contains(name))
                answers_[name] = send(it);
        }
    }

    bool commit()
    {
        const auto change = table_.propose(now_, wall_now());
        if (!change)
            return false;
        ++version_.index;
        ++records_;
        last_change_ = *change;
        state_ = std::make_shared<const membership_state>(apply(*state_, *change, version_));
        update();
        return true;
    }

    void update() { table_.update(configuration_, state_, version_, now_); }

    /// A new leader with the same replicated state.
    void change_leader()
    {
        table_ = lease_table({}, now_);
        update();
    }

    /// The version that was the newest one `n` records ago.
    core::version version_before(std::uint64_t n) const { return {version_.term, version_.index - n}; }

    core::wall_time wall_now() const
    {
        return core::wall_time(std::chrono::duration_cast<core::milliseconds>(now_.time_since_epoch()));
    }

    const upstream& record(const std::string& name) const
    {
        const upstream* found = nullptr;
        for (const auto& [id, it] : state_->upstreams) {
            if (it.name == name)
                found = &it;
        }
        REQUIRE(found != nullptr);
        return *found;
    }

    std::size_t count(upstream_state state) const
    {
        return static_cast<std::size_t>(std::count_if(state_->upstreams.begin(), state_->upstreams.end(),
            [&](const auto& it) { return it.second.state == state; }));
    }

    core::time_point now_{1'000'000ms};
    core::version version_{1, 100};
    std::shared_ptr<const configuration::configuration_state> configuration_;
    std::shared_ptr<const membership_state> state_ = std::make_shared<const membership_state>();
    lease_table table_{{}, now_};
    std::map<std::string, heartbeat> agents_;
    std::map<std::string, heartbeat_answer> answers_;
    std::set<std::string> silent_;
    membership_change last_change_;
    std::uint64_t next_incarnation_ = 1;
    int records_ = 0;
};

} // namespace

TEST_CASE_METHOD(lease_fixture, "agents join in one record and learn their ids")
{
    agents(3);
    run(1s);
    CHECK(records_ == 1);
    CHECK(count(upstream_state::active) == 3);
    CHECK(answers_["host-1"].upstream == record("host-1").id);
    CHECK(answers_["host-1"].latest == version_);
    run(60s);
    CHECK(records_ == 1);
}

TEST_CASE_METHOD(lease_fixture, "an agent of an unknown service is told so and still shows its version")
{
    agent("host-0", 7000, "missing").applied = {1, 7};
    run(600ms);
    CHECK(answers_["host-0"].result == heartbeat_result::unknown_service);
    CHECK(state_->upstreams.empty());
    REQUIRE(table_.processes(now_).size() == 1);
    CHECK(table_.processes(now_).front().applied == core::version{1, 7});
}

// Guards against a death that is noticed later than 3 s after it, at any phase of the heartbeat.
TEST_CASE_METHOD(lease_fixture, "a death is noticed within 3 s")
{
    agents(4);
    run(5s + 100ms * GENERATE(0, 1, 2, 3, 4));
    silent_.insert("host-2");
    const auto died = now_;
    while (record("host-2").state == upstream_state::active)
        run(100ms);
    CHECK(record("host-2").state == upstream_state::gone);
    CHECK(now_ - died <= 3s);
    CHECK(count(upstream_state::active) == 3);
}

TEST_CASE_METHOD(lease_fixture, "a drain is proposed with the heartbeat that announces it")
{
    agents(2);
    run(5s);
    agents_["host-0"].draining = true;
    run(600ms);
    CHECK(record("host-0").state == upstream_state::draining);
    CHECK(record("host-0").history.back().to.has_value());
    agents_["host-0"].draining = false;
    run(600ms);
    CHECK(record("host-0").state == upstream_state::active);
}

// Guards against an operator's drain that the next heartbeat undoes.
TEST_CASE_METHOD(lease_fixture, "an upstream that an operator drains stays draining until the operator undoes it")
{
    agents(2);
    run(5s);
    auto drained = *configuration_;
    drained.drained_upstreams.insert(record("host-0").id);
    configuration_ = std::make_shared<const configuration::configuration_state>(drained);
    update();
    run(200ms);
    CHECK(record("host-0").state == upstream_state::draining);
    run(5s);
    CHECK(record("host-0").state == upstream_state::draining);
    CHECK(record("host-1").state == upstream_state::active);
    drained.drained_upstreams.clear();
    configuration_ = std::make_shared<const configuration::configuration_state>(drained);
    update();
    run(200ms);
    CHECK(record("host-0").state == upstream_state::active);
}

// Guards against a planned stop of all upstreams that is taken for a mass expiry.
TEST_CASE_METHOD(lease_fixture, "draining upstreams that end are gone, however many they are")
{
    agents(4);
    run(5s);
    for (auto& [name, it] : agents_)
        it.draining = true;
    run(1s);
    for (const auto& [name, it] : agents_)
        silent_.insert(name);
    run(3s);
    CHECK(count(upstream_state::gone) == 4);
}

TEST_CASE_METHOD(lease_fixture, "a restarted agent keeps its upstream id")
{
    agents(2);
    run(5s);
    const auto before = record("host-0");
    agent("host-0", 7000);
    run(600ms);
    CHECK(record("host-0").id == before.id);
    CHECK(record("host-0").agent == agents_["host-0"].sender);
    CHECK(state_->upstreams.size() == 2);
}

// Guards against a record that names a former run of the upstream, whose flows a restarted agent would look for.
TEST_CASE_METHOD(lease_fixture, "a restart of the upstream alone is recorded")
{
    auto& it = agent("host-0", 7000);
    it.upstream_incarnation = core::incarnation(100);
    run(5s);
    CHECK(record("host-0").incarnation == core::incarnation(100));
    it.upstream_incarnation = core::incarnation(200);
    run(600ms);
    CHECK(record("host-0").incarnation == core::incarnation(200));
    CHECK(record("host-0").agent == it.sender);
}

// Guards against a lease table that empties a service when the control group is cut off from most of its upstreams.
TEST_CASE_METHOD(lease_fixture, "a mass expiry during a partition removes up to the limit and suspects the rest")
{
    agents(7);
    run(5s);
    for (int i = 0; i < 7; ++i)
        silent_.insert("host-" + std::to_string(i));
    run(30s);
    CHECK(count(upstream_state::gone) == 3);
    CHECK(count(upstream_state::suspect) == 4);
    silent_.clear();
    run(1s);
    CHECK(count(upstream_state::active) == 7);
}

// Guards against dead suspects that take new flows for ever.
TEST_CASE_METHOD(lease_fixture, "a suspect that an operator drains is gone when its agent stays silent")
{
    agents(2);
    run(5s);
    silent_ = {"host-0", "host-1"};
    run(4s);
    REQUIRE(count(upstream_state::suspect) == 1);
    auto drained = *configuration_;
    drained.drained_upstreams = {record("host-0").id, record("host-1").id};
    configuration_ = std::make_shared<const configuration::configuration_state>(drained);
    update();
    run(200ms);
    CHECK(count(upstream_state::gone) == 2);
}

// Guards against a limit that is evaded when the leases end one after the other.
TEST_CASE_METHOD(lease_fixture, "the mass-expiry limit counts removals over 10 s")
{
    agents(4);
    run(5s);
    for (int i = 0; i < 4; ++i) {
        silent_.insert("host-" + std::to_string(i));
        run(2s);
    }
    run(3s);
    CHECK(count(upstream_state::gone) == 2);
    CHECK(count(upstream_state::suspect) == 2);
}

// Guards against a limit of one service that spares the dead upstreams of another.
TEST_CASE_METHOD(lease_fixture, "the mass-expiry limit is counted per service and taken from its profile")
{
    auto changed = *configuration_;
    auto profile = changed.profiles.at("standard");
    profile.name = "strict";
    profile.mass_expiry_limit = 1;
    changed.profiles.emplace("strict", profile);
    changed.services.at(core::service_id(2)).profile = "strict";
    configuration_ = std::make_shared<const configuration::configuration_state>(changed);
    update();
    agents(2);
    agent("report-0", 8000, "reports");
    agent("report-1", 8010, "reports");
    run(5s);
    silent_ = {"host-0", "host-1", "report-0", "report-1"};
    run(4s);
    CHECK(record("report-0").state == upstream_state::gone);
    CHECK(record("report-1").state == upstream_state::gone);
    CHECK(count(upstream_state::suspect) == 1);
}

// Guards against a new leader that removes upstreams whose heartbeats still go to the old one.
TEST_CASE_METHOD(lease_fixture, "no lease ends in the grace period of a new leader")
{
    agents(4);
    run(5s);
    change_leader();
    silent_ = {"host-0", "host-1", "host-2", "host-3"};
    run(2500ms);
    CHECK(count(upstream_state::active) == 4);
    CHECK_FALSE(table_.is_settled(now_));
    silent_ = {"host-3"};
    run(1s);
    CHECK(table_.is_settled(now_));
    CHECK(count(upstream_state::active) == 3);
    CHECK(record("host-3").state == upstream_state::gone);
}

// Guards against a leader that ends all leases when it continues after a pause.
TEST_CASE_METHOD(lease_fixture, "a pause of the leader begins a new grace period")
{
    agents(4);
    run(5s);
    now_ += 20s;
    table_.tick(now_);
    CHECK_FALSE(commit());
    run(3s);
    CHECK(count(upstream_state::active) == 4);
}

// Guards against an upstream that joins and leaves the chains several times a second.
TEST_CASE_METHOD(lease_fixture, "an upstream that was gone three times in a minute is held off for 10 s")
{
    agents(4);
    run(5s);
    for (int i = 0; i < 3; ++i) {
        silent_.insert("host-0");
        while (record("host-0").state != upstream_state::gone)
            run(100ms);
        silent_.clear();
        if (i < 2)
            run(11s);
    }
    const auto gone = now_;
    while (record("host-0").state == upstream_state::gone)
        run(100ms);
    CHECK(now_ - gone >= 9500ms);
    CHECK(now_ - gone <= 11s);
}

// Guards against a late heartbeat that undoes a drain or keeps a dead agent's lease.
TEST_CASE_METHOD(lease_fixture, "repeated and reordered heartbeats have no effect")
{
    agents(4);
    run(5s);
    const auto late = agents_["host-0"];
    agents_["host-0"].draining = true;
    run(600ms);
    CHECK(table_.on_heartbeat(late, now_).result == heartbeat_result::accepted);
    CHECK_FALSE(commit());
    CHECK(record("host-0").state == upstream_state::draining);

    silent_.insert("host-1");
    const auto repeated = agents_["host-1"];
    for (int i = 0; i < 25; ++i) {
        table_.on_heartbeat(repeated, now_);
        run(100ms);
    }
    CHECK(record("host-1").state == upstream_state::gone);
}

// Guards against a record that changes back and forth between the incarnations around a restart.
TEST_CASE_METHOD(lease_fixture, "a late heartbeat of a replaced incarnation is refused")
{
    agents(2);
    run(5s);
    auto replaced = agents_["host-0"];
    agent("host-0", 7000);
    run(600ms);
    CHECK(send(replaced).result == heartbeat_result::name_taken);
    CHECK_FALSE(commit());
    CHECK(record("host-0").agent == agents_["host-0"].sender);
    CHECK(table_.processes(now_).size() == 2);
}

// Guards against two agents that take one upstream id from each other with every heartbeat.
TEST_CASE_METHOD(lease_fixture, "of two live agents with the same name the first one keeps it")
{
    agents(2);
    run(5s);
    const auto holder = record("host-0");
    const auto first = agents_["host-0"];
    auto second = first;
    second.sender = core::incarnation(99);
    second.packet_endpoint = {2, 7000};
    second.sequence = 0;
    for (int i = 0; i < 10; ++i) {
        run(500ms);
        CHECK(send(second).result == heartbeat_result::name_taken);
    }
    CHECK(record("host-0") == holder);

    // Also at a new leader that hears of the second one first.
    change_leader();
    CHECK(send(second).result == heartbeat_result::name_taken);
    run(600ms);
    CHECK(record("host-0") == holder);

    // The name is free once its holder is dead.
    silent_.insert("host-0");
    for (int i = 0; i < 30; ++i) {
        run(100ms);
        send(second);
    }
    CHECK(record("host-0").agent == core::incarnation(99));
    CHECK(record("host-0").id == holder.id);
}

// Guards against packets of one service that reach the agent of another, which took over the address.
TEST_CASE_METHOD(lease_fixture, "an address reused by another service's agent ends the record of its former agent")
{
    agent("host-0", 7000);
    run(5s);
    auto& reused = agent("report-0", 7000, "reports");
    CHECK(send(reused).result == heartbeat_result::name_taken);
    silent_.insert("host-0");
    run(3s);
    // A lone upstream is never removed for its expiry alone, but its endpoint is taken now.
    CHECK(record("host-0").state == upstream_state::gone);
    CHECK(record("report-0").state == upstream_state::active);
    CHECK(record("report-0").id != record("host-0").id);
}

// Guards against history that a restarted agent still needs to be found by the flows it adopts.
TEST_CASE_METHOD(lease_fixture, "history is not pruned until a new incarnation has had time to adopt its flows")
{
    agents(2);
    run(5s);
    agents_["host-0"].draining = true;
    run(1s);
    agents_["host-0"].draining = false;
    run(1s);
    agent("host-0", 7000).flow_watermark = version_;
    run(80s);
    CHECK(record("host-0").history.size() == 2);
    run(15s);
    CHECK(record("host-0").history.size() == 1);
}

// Guards against a record for each report: watermarks move with every version, but only a change of eligibility that
// they pass can shorten a chain.
TEST_CASE_METHOD(lease_fixture, "a watermark is recorded when it passes a change of eligibility")
{
    agents(3);
    run(100s);
    const auto joined = version_;
    const auto report = [&](const core::version& watermark) {
        for (auto& [name, it] : agents_)
            it.flow_watermark = watermark;
    };
    version_.index += 50;
    update();
    report(version_);
    auto records = records_;
    run(5min);
    CHECK(records_ == records);
    CHECK(record("host-1").flow_watermark == core::version{});
    // host-0 drains at joined.index + 51. The others still have older flows.
    agents_["host-0"].draining = true;
    run(2min);
    CHECK(record("host-1").flow_watermark == core::version{});
    report(version_);
    records = records_;
    run(2min);
    CHECK(records_ == records + 1);
    CHECK(record("host-1").flow_watermark == version_before(1));
    CHECK(record("host-2").flow_watermark == version_before(1));
    // The drained upstream has no flow that began while it was eligible.
    CHECK(record("host-0").history.empty());
    CHECK(joined < version_);
}

// Guards against a last record that is spent on the first agents to pass a change, so that chains keep the others until
// the next change.
TEST_CASE_METHOD(lease_fixture, "the last record of watermarks waits for flows that end later")
{
    agents(4);
    run(100s);
    agents_["host-0"].draining = true;
    run(1s);
    const auto changed = version_;
    agents_["host-1"].flow_watermark = changed;
    run(20s);
    CHECK(record("host-1").flow_watermark == changed);
    agents_["host-2"].flow_watermark = changed;
    run(5min);
    CHECK(record("host-2").flow_watermark == core::version{});
    agents_["host-3"].flow_watermark = changed;
    run(5min);
    CHECK(record("host-2").flow_watermark == changed);
    CHECK(record("host-3").flow_watermark == changed);
}

// Guards against a watermark from a broken agent that leaves the upstream out of chains for versions to come.
TEST_CASE_METHOD(lease_fixture, "a watermark beyond the log is cut to the newest version")
{
    agents(2);
    run(100s);
    agents_["host-0"].draining = true;
    agents_["host-1"].flow_watermark = {9, 9};
    run(2s);
    const auto newest = version_;
    run(2min);
    CHECK(record("host-1").flow_watermark == newest);
}

// Guards against watermarks of a restarted agent that are taken before it has adopted its flows.
TEST_CASE_METHOD(lease_fixture, "no watermark of a new incarnation is recorded for 90 s")
{
    agents(3);
    run(100s);
    agents_["host-0"].draining = true;
    run(1s);
    agent("host-1", 7010).flow_watermark = version_;
    agents_["host-2"].flow_watermark = version_;
    run(80s);
    CHECK(record("host-2").flow_watermark > core::version{});
    CHECK(record("host-1").flow_watermark == core::version{});
    // Another change makes room for one more record of watermarks.
    agents_["host-0"].draining = false;
    run(30s);
    CHECK(record("host-1").flow_watermark > core::version{});
}

// Guards against watermarks that take more log records than the changes that they follow.
TEST_CASE_METHOD(lease_fixture, "records that hold only watermarks are no more than the changes of eligibility")
{
    agents(40);
    run(100s);
    const auto records = records_;
    int changes = 0;
    for (int hour = 0; hour < 4; ++hour) {
        agents_["host-0"].draining = !agents_["host-0"].draining;
        ++changes;
        run(1s);
        const auto changed = version_;
        // The agents pass the change one by one, as their older flows end.
        for (int i = 1; i < 40; ++i) {
            agents_["host-" + std::to_string(i)].flow_watermark = changed;
            run(20s);
        }
    }
    CHECK(records_ - records > changes);
    CHECK(records_ - records <= 2 * changes + 1);
}

// Guards against a late resend that runs again because nobody remembers who had run it.
TEST_CASE_METHOD(lease_fixture, "a gone upstream is forgotten after 15 minutes and joins with a new id afterwards")
{
    agents(4);
    run(5s);
    const auto id = record("host-0").id;
    silent_.insert("host-0");
    run(14min);
    CHECK(record("host-0").state == upstream_state::gone);
    run(2min);
    CHECK(state_->upstreams.size() == 3);
    silent_.clear();
    run(1s);
    CHECK(record("host-0").id > id);
}

TEST_CASE_METHOD(lease_fixture, "answers carry the mean of open flows over the members that take new ones")
{
    agents(3);
    agents_["host-0"].open_flows = 10;
    agents_["host-1"].open_flows = 20;
    agents_["host-2"].open_flows = 900;
    agents_["host-2"].draining = true;
    run(1100ms);
    CHECK(answers_["host-0"].mean_open_flows == Approx(15));
}

TEST_CASE_METHOD(lease_fixture, "balancers are listed as relays while they live")
{
    balancer("balancer-0", 9000).applied = {1, 3};
    run(4s);
    CHECK(state_->relays == std::map<std::string, core::endpoint>{{"balancer-0", {1, 9000}}});
    CHECK(table_.processes(now_).front().applied == core::version{1, 3});
    balancer("balancer-0", 9001);
    run(3s);
    CHECK(state_->relays == std::map<std::string, core::endpoint>{{"balancer-0", {1, 9001}}});
    silent_.insert("balancer-0");
    run(3s);
    CHECK(state_->relays.empty());
    CHECK(table_.processes(now_).empty());
}

// Guards against records that do not fit the ids of one log record.
TEST_CASE_METHOD(lease_fixture, "more joins than a record holds are spread over several")
{
    for (int i = 0; i < 1500; ++i)
        agent("host-" + std::to_string(i), static_cast<std::uint16_t>(1000 + 2 * i));
    run(1s);
    CHECK(records_ == 2);
    CHECK(count(upstream_state::active) == 1500);
}
