#include "lease_fixture.h"

using namespace ibisdyke;
using namespace ibisdyke::membership;
using namespace std::chrono_literals;
using membership::testing::lease_fixture;

TEST_CASE_METHOD(lease_fixture, "agents join in one record and learn their ids")
{
    add_agents(3);
    run(1s);
    CHECK(record_count_ == 1);
    CHECK(count(upstream_state::active) == 3);
    CHECK(answers_["host-1"].upstream == record("host-1").id);
    CHECK(answers_["host-1"].latest == version_);
    run(60s);
    CHECK(record_count_ == 1);
}

TEST_CASE_METHOD(lease_fixture, "an agent of an unknown service is refused and its version is still reported")
{
    add_agent("host-0", 7000, "missing").applied = {1, 7};
    run(600ms);
    CHECK(answers_["host-0"].result == heartbeat_result::unknown_service);
    CHECK(state_->upstreams.empty());
    REQUIRE(table_.processes(now_).size() == 1);
    CHECK(table_.processes(now_).front().applied == core::version{1, 7});
}

// The time to detect a dead agent depends on the phase of its heartbeat. It must not exceed 3 s at any phase.
TEST_CASE_METHOD(lease_fixture, "a death is detected within 3 s")
{
    add_agents(4);
    run(5s + 100ms * GENERATE(0, 1, 2, 3, 4));
    silent_.insert("host-2");
    const auto died_at = now_;
    while (record("host-2").state == upstream_state::active)
        run(100ms);
    CHECK(record("host-2").state == upstream_state::gone);
    CHECK(now_ - died_at <= 3s);
    CHECK(count(upstream_state::active) == 3);
}

TEST_CASE_METHOD(lease_fixture, "a drain is proposed with the heartbeat that announces it")
{
    add_agents(2);
    run(5s);
    senders_["host-0"].draining = true;
    run(600ms);
    CHECK(record("host-0").state == upstream_state::draining);
    CHECK(record("host-0").history.back().to.has_value());
    senders_["host-0"].draining = false;
    run(600ms);
    CHECK(record("host-0").state == upstream_state::active);
}

// The next heartbeat of an agent that does not drain by itself must not undo an operator's drain.
TEST_CASE_METHOD(lease_fixture, "an upstream that an operator drains stays draining until the operator undoes it")
{
    add_agents(2);
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

// A planned stop of all upstreams must not be treated as a mass expiry, which would leave them as suspects.
TEST_CASE_METHOD(lease_fixture, "draining upstreams that end are gone, however many they are")
{
    add_agents(4);
    run(5s);
    for (auto& [name, it] : senders_)
        it.draining = true;
    run(1s);
    for (const auto& [name, it] : senders_)
        silent_.insert(name);
    run(3s);
    CHECK(count(upstream_state::gone) == 4);
}

TEST_CASE_METHOD(lease_fixture, "a restarted agent keeps its upstream id")
{
    add_agents(2);
    run(5s);
    const auto before = record("host-0");
    add_agent("host-0", 7000);
    run(600ms);
    CHECK(record("host-0").id == before.id);
    CHECK(record("host-0").agent == senders_["host-0"].sender);
    CHECK(state_->upstreams.size() == 2);
}

// If the record kept the incarnation before the restart, a restarted agent would look for flows that the upstream has
// lost.
TEST_CASE_METHOD(lease_fixture, "a restart of the upstream alone is recorded")
{
    auto& it = add_agent("host-0", 7000);
    it.upstream_incarnation = core::incarnation(100);
    run(5s);
    CHECK(record("host-0").incarnation == core::incarnation(100));
    it.upstream_incarnation = core::incarnation(200);
    run(600ms);
    CHECK(record("host-0").incarnation == core::incarnation(200));
    CHECK(record("host-0").agent == it.sender);
}

// When the control group is cut off from most upstreams of a service, expired leases must not empty the service.
TEST_CASE_METHOD(lease_fixture, "a mass expiry in a partition removes up to the limit and marks the rest as suspect")
{
    add_agents(7);
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

// A dead suspect that could not be removed would get new flows for ever.
TEST_CASE_METHOD(lease_fixture, "a suspect that an operator drains is gone when its agent stays silent")
{
    add_agents(2);
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

// Leases that expire one after the other, each alone below the limit, must not evade the mass-expiry limit.
TEST_CASE_METHOD(lease_fixture, "the mass-expiry limit counts removals over 10 s")
{
    add_agents(4);
    run(5s);
    for (int i = 0; i < 4; ++i) {
        silent_.insert("host-" + std::to_string(i));
        run(2s);
    }
    run(3s);
    CHECK(count(upstream_state::gone) == 2);
    CHECK(count(upstream_state::suspect) == 2);
}

// The limit of one service must not keep dead upstreams of another service from being removed.
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
    add_agents(2);
    add_agent("report-0", 8000, "reports");
    add_agent("report-1", 8010, "reports");
    run(5s);
    silent_ = {"host-0", "host-1", "report-0", "report-1"};
    run(4s);
    CHECK(record("report-0").state == upstream_state::gone);
    CHECK(record("report-1").state == upstream_state::gone);
    CHECK(count(upstream_state::suspect) == 1);
}

// A new leader must not remove upstreams whose heartbeats still go to the old leader.
TEST_CASE_METHOD(lease_fixture, "no lease ends in the grace period of a new leader")
{
    add_agents(4);
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

// A leader that resumes after a pause finds all leases expired, because it could not receive heartbeats meanwhile. It
// must not remove the upstreams.
TEST_CASE_METHOD(lease_fixture, "a pause of the leader begins a new grace period")
{
    add_agents(4);
    run(5s);
    now_ += 20s;
    table_.tick(now_);
    CHECK_FALSE(commit());
    run(3s);
    CHECK(count(upstream_state::active) == 4);
}

// A late heartbeat must not undo a drain, and a repeated heartbeat must not renew the lease of a dead agent.
TEST_CASE_METHOD(lease_fixture, "repeated and reordered heartbeats have no effect")
{
    add_agents(4);
    run(5s);
    const auto late = senders_["host-0"];
    senders_["host-0"].draining = true;
    run(600ms);
    CHECK(table_.on_heartbeat(late, now_).result == heartbeat_result::accepted);
    CHECK_FALSE(commit());
    CHECK(record("host-0").state == upstream_state::draining);

    silent_.insert("host-1");
    const auto repeated = senders_["host-1"];
    for (int i = 0; i < 25; ++i) {
        table_.on_heartbeat(repeated, now_);
        run(100ms);
    }
    CHECK(record("host-1").state == upstream_state::gone);
}

// If heartbeats of the old incarnation were accepted after a restart, the record would alternate between both
// incarnations.
TEST_CASE_METHOD(lease_fixture, "a late heartbeat of a replaced incarnation is refused")
{
    add_agents(2);
    run(5s);
    auto replaced = senders_["host-0"];
    add_agent("host-0", 7000);
    run(600ms);
    CHECK(send(replaced).result == heartbeat_result::name_taken);
    CHECK_FALSE(commit());
    CHECK(record("host-0").agent == senders_["host-0"].sender);
    CHECK(table_.processes(now_).size() == 2);
}

// Two agents with the same name must not take the upstream id from each other with every heartbeat.
TEST_CASE_METHOD(lease_fixture, "of two live agents with the same name the first one keeps it")
{
    add_agents(2);
    run(5s);
    const auto holder = record("host-0");
    const auto first = senders_["host-0"];
    auto second = first;
    second.sender = core::incarnation(99);
    second.packet_endpoint = {2, 7000};
    second.sequence = 0;
    for (int i = 0; i < 10; ++i) {
        run(500ms);
        CHECK(send(second).result == heartbeat_result::name_taken);
    }
    CHECK(record("host-0") == holder);

    // The same holds when a new leader receives a heartbeat of the second agent first.
    change_leader();
    CHECK(send(second).result == heartbeat_result::name_taken);
    run(600ms);
    CHECK(record("host-0") == holder);

    // The second agent gets the name when the first agent is dead.
    silent_.insert("host-0");
    for (int i = 0; i < 30; ++i) {
        run(100ms);
        send(second);
    }
    CHECK(record("host-0").agent == core::incarnation(99));
    CHECK(record("host-0").id == holder.id);
}

// If the former agent's record stayed, packets of its service would reach the agent that now uses the address.
TEST_CASE_METHOD(lease_fixture, "an address reused by another service's agent ends the record of its former agent")
{
    add_agent("host-0", 7000);
    run(5s);
    auto& reused = add_agent("report-0", 7000, "reports");
    CHECK(send(reused).result == heartbeat_result::name_taken);
    silent_.insert("host-0");
    run(3s);
    // The mass-expiry limit would keep the only upstream of a service, but its endpoint is now in use by another agent.
    CHECK(record("host-0").state == upstream_state::gone);
    CHECK(record("report-0").state == upstream_state::active);
    CHECK(record("report-0").id != record("host-0").id);
}

// The flows that a restarted agent adopts find it by its eligibility history, so the history must not be pruned before.
TEST_CASE_METHOD(lease_fixture, "history is not pruned until a new incarnation has had time to adopt its flows")
{
    add_agents(2);
    run(5s);
    senders_["host-0"].draining = true;
    run(1s);
    senders_["host-0"].draining = false;
    run(1s);
    add_agent("host-0", 7000).flow_watermark = version_;
    run(80s);
    CHECK(record("host-0").history.size() == 2);
    run(15s);
    CHECK(record("host-0").history.size() == 1);
}

// Watermarks move with every version, but a chain gets shorter only when they pass a change of eligibility. Other
// watermarks must not cause a log record for each report.
TEST_CASE_METHOD(lease_fixture, "a watermark is recorded when it passes a change of eligibility")
{
    add_agents(3);
    run(100s);
    const auto joined = version_;
    const auto set_watermarks = [&](const core::version& watermark) {
        for (auto& [name, it] : senders_)
            it.flow_watermark = watermark;
    };
    version_.index += 50;
    update();
    set_watermarks(version_);
    auto records = record_count_;
    run(5min);
    CHECK(record_count_ == records);
    CHECK(record("host-1").flow_watermark == core::version{});
    // host-0 drains at index joined.index + 51. The other agents still have older flows.
    senders_["host-0"].draining = true;
    run(2min);
    CHECK(record("host-1").flow_watermark == core::version{});
    set_watermarks(version_);
    records = record_count_;
    run(2min);
    CHECK(record_count_ == records + 1);
    CHECK(record("host-1").flow_watermark == version_before(1));
    CHECK(record("host-2").flow_watermark == version_before(1));
    // The drained upstream has no open flow that began while it was eligible.
    CHECK(record("host-0").history.empty());
    CHECK(joined < version_);
}

// If the last record of watermarks were written for the first agents that pass a change, the chains would keep the
// candidates of the other agents until the next change.
TEST_CASE_METHOD(lease_fixture, "the last record of watermarks waits for flows that end later")
{
    add_agents(4);
    run(100s);
    senders_["host-0"].draining = true;
    run(1s);
    const auto changed = version_;
    senders_["host-1"].flow_watermark = changed;
    run(20s);
    CHECK(record("host-1").flow_watermark == changed);
    senders_["host-2"].flow_watermark = changed;
    run(5min);
    CHECK(record("host-2").flow_watermark == core::version{});
    senders_["host-3"].flow_watermark = changed;
    run(5min);
    CHECK(record("host-2").flow_watermark == changed);
    CHECK(record("host-3").flow_watermark == changed);
}

// A too high watermark of a faulty agent would leave its upstream out of the chains of future versions.
TEST_CASE_METHOD(lease_fixture, "a watermark beyond the log is capped at the newest version")
{
    add_agents(2);
    run(100s);
    senders_["host-0"].draining = true;
    senders_["host-1"].flow_watermark = {9, 9};
    run(2s);
    const auto newest = version_;
    run(2min);
    CHECK(record("host-1").flow_watermark == newest);
}

// A restarted agent that has not adopted its flows yet reports a watermark that does not cover them. This watermark
// must not be recorded.
TEST_CASE_METHOD(lease_fixture, "no watermark of a new incarnation is recorded for 90 s")
{
    add_agents(3);
    run(100s);
    senders_["host-0"].draining = true;
    run(1s);
    add_agent("host-1", 7010).flow_watermark = version_;
    senders_["host-2"].flow_watermark = version_;
    run(80s);
    CHECK(record("host-2").flow_watermark > core::version{});
    CHECK(record("host-1").flow_watermark == core::version{});
    // Another change of eligibility allows one more record of watermarks.
    senders_["host-0"].draining = false;
    run(30s);
    CHECK(record("host-1").flow_watermark > core::version{});
}

// Records of watermarks must not outnumber the changes of eligibility that cause them.
TEST_CASE_METHOD(lease_fixture, "records that hold only watermarks are no more than the changes of eligibility")
{
    add_agents(40);
    run(100s);
    // The first change is the join of the agents. Its record of watermarks is written after that of the first drain.
    int changes = 1;
    for (int hour = 0; hour < 4; ++hour) {
        senders_["host-0"].draining = !senders_["host-0"].draining;
        ++changes;
        run(1s);
        const auto changed = version_;
        // The agents pass the change one after the other, as their older flows end.
        for (int i = 1; i < 40; ++i) {
            senders_["host-" + std::to_string(i)].flow_watermark = changed;
            run(20s);
        }
    }
    // Each change is a record of its own.
    CHECK(record_count_ > changes);
    CHECK(record_count_ <= 2 * changes);
}

// A late resend of a request must find the record of the upstream that served it, or the request would run again.
TEST_CASE_METHOD(lease_fixture, "a gone upstream is forgotten after 15 minutes and joins with a new id afterwards")
{
    add_agents(4);
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
    add_agents(3);
    senders_["host-0"].open_flows = 10;
    senders_["host-1"].open_flows = 20;
    senders_["host-2"].open_flows = 900;
    senders_["host-2"].draining = true;
    run(1100ms);
    CHECK(answers_["host-0"].mean_open_flows == Approx(15));
}

TEST_CASE_METHOD(lease_fixture, "balancers are listed as relays while they live")
{
    add_balancer("balancer-0", 9000).applied = {1, 3};
    run(4s);
    CHECK(state_->relays == std::map<std::string, core::endpoint>{{"balancer-0", {1, 9000}}});
    CHECK(table_.processes(now_).front().applied == core::version{1, 3});
    add_balancer("balancer-0", 9001);
    run(3s);
    CHECK(state_->relays == std::map<std::string, core::endpoint>{{"balancer-0", {1, 9001}}});
    silent_.insert("balancer-0");
    run(3s);
    CHECK(state_->relays.empty());
    CHECK(table_.processes(now_).empty());
}

// The ids that one log record can assign are limited, so more joins must be split into several records.
TEST_CASE_METHOD(lease_fixture, "more joins than a record holds are spread over several")
{
    for (int i = 0; i < 1500; ++i)
        add_agent("host-" + std::to_string(i), static_cast<std::uint16_t>(1000 + 2 * i));
    run(1s);
    CHECK(record_count_ == 2);
    CHECK(count(upstream_state::active) == 1500);
}
