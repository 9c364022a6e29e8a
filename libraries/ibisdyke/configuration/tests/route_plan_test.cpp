#include "ibisdyke/configuration/command_application.h"
#include "ibisdyke/configuration/route_plan.h"
#include "ibisdyke/configuration/wire/codec.h"
#include "ibisdyke/core/error.h"

#include <catch2/catch.hpp>

using namespace ibisdyke;
using namespace std::chrono_literals;
using namespace configuration;

namespace {

constexpr std::uint32_t public_address = 0xc612'0001;

service_address at_port(std::uint16_t port)
{
    return {{public_address, port}, transport_protocol::tcp};
}

route_plan two_routes(std::uint64_t revision)
{
    route_plan result;
    result.revision = revision;
    result.idle_timeout = 15s;
    result.services = {{"desk", {2s, 4}}, {"store", {}}};
    result.routes = {{"feed", at_port(443), {{"desk", 1}}, 1500ms}, {"pull", at_port(8443), {{"store", 1}}, 5s}};
    return result;
}

/// Applies route plans as the state machine of the control group does.
class plan_applier {
public:
    void put(const route_plan& plan, const std::string& text)
    {
        validate(plan);
        const auto change = make_route_plan_change(state, document, plan, text);
        const command it{core::command_id("order"), "", {}, {change}};
        // The state machine applies the decoded log record.
        const auto done = apply(state, wire::decode_command(wire::encode(it)), {1, ++index});
        REQUIRE(done.result.kind == outcome_kind::accepted);
        state = done.state;
        document = {plan.revision, apply_patch(change.document, document.text)};
    }

    const route& at(std::uint16_t port) const { return state.routes.at(at_port(port)); }

    core::service_id id_of(const std::string& name) const
    {
        for (const auto& [id, it] : state.services) {
            if (it.name == name)
                return id;
        }
        return {};
    }

    configuration_state state;
    plan_document document;
    std::uint64_t index = 0;
};

} // namespace

// A plan must take effect as a whole, and its services must get different ids.
TEST_CASE("a route plan creates its services and routes")
{
    plan_applier it;
    it.put(two_routes(7), "seven");
    CHECK(it.state.plan == plan_summary{7, 15s});
    REQUIRE(it.state.services.size() == 2);
    CHECK(it.id_of("desk") != it.id_of("store"));
    CHECK(it.state.services.at(it.id_of("desk")).cold_start == cold_start_bound{2s, 4});
    CHECK(it.at(443).targets == std::vector<weighted_service>{{it.id_of("desk"), 1}});
    CHECK(it.document == plan_document{7, "seven"});
    CHECK(wire::decode_configuration_state(wire::encode(it.state)) == it.state);
    CHECK(wire::decode_plan_document(wire::encode(it.document)) == it.document);
}

// After a change of targets, the former targets must still be searched. Otherwise open flows would not be found.
TEST_CASE("a service that is no longer a target of a route is kept as a former target")
{
    plan_applier it;
    it.put(two_routes(7), "7");
    auto next = two_routes(9);
    next.routes[0].targets = {{"store", 1}};
    it.put(next, "9");
    CHECK(it.at(443).targets == std::vector<weighted_service>{{it.id_of("store"), 1}});
    CHECK(it.at(443).former_targets == std::vector<core::service_id>{it.id_of("desk")});
    it.put(two_routes(10), "10");
    CHECK(it.at(443).targets == std::vector<weighted_service>{{it.id_of("desk"), 1}});
    CHECK(it.at(443).former_targets == std::vector<core::service_id>{it.id_of("store")});
}

// A change of weights from eight services to one forgot the seventh: only six former targets were kept. Its open flows
// were then reset.
TEST_CASE("every earlier target of a route is kept as a former target")
{
    const auto count = GENERATE(values<std::size_t>({2, 6, 7, 8, 9, 40}));
    CAPTURE(count);
    plan_applier it;
    auto plan = two_routes(1);
    plan.routes[0].targets.clear();
    for (std::size_t i = 0; i < count; ++i) {
        plan.services.push_back({"s" + std::to_string(i), {}});
        plan.routes[0].targets.push_back({"s" + std::to_string(i), 10});
    }
    it.put(plan, "1");
    plan.revision = 2;
    plan.routes[0].targets = {{"s0", 100}};
    it.put(plan, "2");
    CHECK(it.at(443).former_targets.size() == count - 1);
    // The same services again, one after the other.
    for (std::uint64_t i = 0; i < 2 * count; ++i) {
        plan.revision = 3 + i;
        plan.routes[0].targets = {{"s" + std::to_string(i % count), 1}};
        it.put(plan, std::to_string(plan.revision));
        CHECK(it.at(443).former_targets.size() == count - 1);
    }
    CHECK(wire::decode_configuration_state(wire::encode(it.state)) == it.state);
}

// The flows of a removed route must be ended, and a route that a later plan contains again must not stay withdrawn.
TEST_CASE("a removed route is withdrawn until a plan contains it again")
{
    plan_applier it;
    it.put(two_routes(7), "7");
    auto next = two_routes(8);
    next.routes.pop_back();
    it.put(next, "8");
    CHECK(it.at(8443).withdrawn_at == 8U);
    CHECK(it.at(8443).targets.empty());
    it.put(two_routes(9), "9");
    CHECK_FALSE(it.at(8443).withdrawn_at);
    CHECK(it.at(8443).former_targets.empty());
    CHECK(it.at(8443).targets.size() == 1);
}

// A changed priority must reach the routes. A record of a version without priorities must read as the highest one.
TEST_CASE("a change of only a route's priority is applied")
{
    plan_applier it;
    it.put(two_routes(7), "7");
    CHECK(it.at(8443).priority == 0);
    auto next = two_routes(8);
    next.routes[1].priority = 2;
    it.put(next, "8");
    CHECK(wire::decode_configuration_state(wire::encode(it.state)).routes.at(at_port(8443)).priority == 2);
}

// A change must not be applied to a plan other than the one from which it was computed.
TEST_CASE("a change that is based on another revision is a conflict")
{
    plan_applier it;
    it.put(two_routes(7), "7");
    const auto outdated = make_route_plan_change(it.state, it.document, two_routes(8), "8");
    it.put(two_routes(9), "9");
    const auto done = apply(it.state, {core::command_id("late"), "", {}, {outdated}}, {1, 99});
    CHECK(done.result.kind == outcome_kind::conflict);
    CHECK(done.result.present_revision == 9);
    CHECK(done.state == it.state);
}

// The log record of a change must not contain all of the hundreds of routes of a plan.
TEST_CASE("a change of one route among many contains only this route")
{
    plan_applier it;
    auto plan = two_routes(7);
    std::string text = R"({"version":7,"routes":[)";
    for (std::uint16_t port = 1000; port < 1400; ++port) {
        plan.routes.push_back({"r" + std::to_string(port), at_port(port), {{"desk", 1}}, 1s});
        text += R"({"name":"r)" + std::to_string(port) + R"(","service":"desk"},)";
    }
    it.put(plan, text + "]}");
    plan.revision = 8;
    plan.routes[200].request_timeout = 2s;
    const auto change = make_route_plan_change(it.state, it.document, plan, R"({"version":8)" + text.substr(12) + "]}");
    CHECK(change.routes.size() == 1);
    CHECK(change.removed.empty());
    CHECK(wire::encode(command{core::command_id("x"), "", {}, {change}}).size() < 400);
}

// An invalid plan must be refused, and the operator must learn which field to correct.
TEST_CASE("the error of an invalid route plan has the path of the invalid field")
{
    const auto field_of = [](const route_plan& it) {
        try {
            validate(it);
        } catch (const core::invalid_input& e) {
            return e.field();
        }
        return std::string();
    };
    CHECK(field_of(two_routes(7)).empty());
    auto it = two_routes(0);
    CHECK(field_of(it) == "revision");
    it = two_routes(7);
    it.routes[1].targets[0].service = "nobody";
    CHECK(field_of(it) == "routes[1].targets");
    it = two_routes(7);
    it.routes[1].address = it.routes[0].address;
    CHECK(field_of(it) == "routes[1].address");
    it = two_routes(7);
    it.routes[0].request_timeout = 0ms;
    CHECK(field_of(it) == "routes[0].request_timeout");
    it = two_routes(7);
    it.routes[0].targets[0].weight = 0;
    CHECK(field_of(it) == "routes[0].targets");
    it = two_routes(7);
    it.services[1].name = "desk";
    CHECK(field_of(it) == "services[1].name");
}

TEST_CASE("closing a failure domain ends its interval and taking it in begins another")
{
    configuration_state state;
    const auto set = [&state](domain_state to, std::uint64_t index) {
        const set_domain_state change{core::failure_domain("a"), to};
        state = apply(state, {core::command_id(std::to_string(index)), "", {}, {change}}, {1, index}).state;
        return state.domains.at(core::failure_domain("a"));
    };
    CHECK(set(domain_state::closed, 5).history == std::vector<core::version_interval>{{{}, core::version{1, 5}}});
    CHECK(set(domain_state::out, 6).history == std::vector<core::version_interval>{{{}, core::version{1, 5}}});
    const auto in = set(domain_state::in, 7);
    CHECK(in.history == std::vector<core::version_interval>{{{}, core::version{1, 5}}, {{1, 7}, std::nullopt}});
}
