#include "ibisdyke/configuration/route_plan.h"

#include "ibisdyke/configuration/plan_text.h"
#include "ibisdyke/configuration/validation.h"
#include "ibisdyke/core/error.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <set>

namespace ibisdyke::configuration {

namespace {

/// Withdrawn routes that are kept so that their open flows are ended.
constexpr std::size_t max_withdrawn_routes = 4096;

/// The id of a service is a log index in the lower 48 bits and the number of the service within the log record above
/// them, so that services created by one record have different ids.
constexpr unsigned service_number_shift = 48;

using detail::field_path;

void find_service_errors(const std::vector<planned_service>& services, std::vector<plan_finding>& result)
{
    std::set<std::string> names;
    for (std::size_t i = 0; i < services.size(); ++i) {
        const auto& name = services[i].name;
        const auto path = field_path("services", i, "name");
        if (!is_valid_name(name))
            result.push_back({plan_finding_kind::invalid_service_name, path, name, name, valid_name});
        if (!names.insert(name).second)
            result.push_back({plan_finding_kind::duplicate_service, path, name, name, "a name that no other has"});
    }
}

void find_unknown_services(const planned_route& it, const std::vector<planned_target>& targets, const std::string& path,
    const std::set<std::string>& services, std::vector<plan_finding>& result)
{
    for (const auto& target : targets) {
        if (!services.contains(target.service))
            result.push_back(
                {plan_finding_kind::unknown_service, path, it.name, target.service, "a service of the plan"});
    }
}

void find_target_errors(
    const planned_route& it, std::size_t i, const std::set<std::string>& services, std::vector<plan_finding>& result)
{
    const auto path = field_path("routes", i, "targets");
    find_unknown_services(it, it.targets, path, services, result);
    find_unknown_services(it, it.overridden_targets, field_path("routes", i, "overridden_targets"), services, result);
    const auto total = std::accumulate(it.targets.begin(), it.targets.end(), std::uint64_t{0},
        [](std::uint64_t sum, const auto& target) { return sum + target.weight; });
    if (total == 0)
        result.push_back({plan_finding_kind::no_weight, path, it.name, it.name, "a target with a weight above 0"});
}

void find_route_errors(const route_plan& plan, std::vector<plan_finding>& result)
{
    std::set<std::string> services;
    for (const auto& it : plan.services)
        services.insert(it.name);
    std::map<service_address, std::string> addresses;
    for (std::size_t i = 0; i < plan.routes.size(); ++i) {
        const auto& route = plan.routes[i];
        const auto [other, added] = addresses.emplace(route.address, route.name);
        if (!added)
            result.push_back({plan_finding_kind::duplicate_address, field_path("routes", i, "address"), route.name,
                core::to_string(route.address.address),
                "an address that route \"" + other->second + "\" does not have"});
        if (route.request_timeout <= core::milliseconds{0})
            result.push_back({plan_finding_kind::invalid_request_timeout, field_path("routes", i, "request_timeout"),
                route.name, detail::time_text(route.request_timeout), "a time above 0"});
        find_target_errors(route, i, services, result);
    }
}

const service* find_service(const configuration_state& state, const std::string& name)
{
    for (const auto& [id, it] : state.services) {
        if (it.name == name)
            return &it;
    }
    return nullptr;
}

/// Whether a route of the state is equal to the planned route.
bool is_unchanged(const configuration_state& state, const route& current, const planned_route& planned)
{
    if (current.withdrawn_at || current.name != planned.name || current.request_timeout != planned.request_timeout
        || current.latency_target != planned.latency_target || current.priority != planned.priority
        || current.targets.size() != planned.targets.size())
        return false;
    return std::equal(current.targets.begin(), current.targets.end(), planned.targets.begin(),
        [&state](const auto& a, const auto& b) {
            const auto service = state.services.find(a.service);
            return service != state.services.end() && service->second.name == b.service && a.weight == b.weight;
        });
}

/// Returns the services that may have open flows of the route but are not among its new targets, latest first. They are
/// limited by the number of services: drop_unused_services() removes those that have no upstreams left.
std::vector<core::service_id> former_targets(const route& before, const std::vector<weighted_service>& targets)
{
    std::vector<core::service_id> result;
    const auto add = [&](const core::service_id& it) {
        const bool is_target =
            std::any_of(targets.begin(), targets.end(), [&it](const auto& target) { return target.service == it; });
        if (!is_target && std::find(result.begin(), result.end(), it) == result.end())
            result.push_back(it);
    };
    for (const auto& it : before.targets)
        add(it.service);
    for (const auto& it : before.former_targets)
        add(it);
    return result;
}

void put_services(configuration_state& state, const std::vector<planned_service>& services, const core::version& at)
{
    std::uint64_t number = 0;
    for (const auto& it : services) {
        const auto* const existing = find_service(state, it.name);
        auto document = existing != nullptr ? *existing : service{};
        if (existing == nullptr) {
            document.id = core::service_id((number++ << service_number_shift) | at.index);
            document.name = it.name;
        }
        document.cold_start = it.cold_start;
        document.withdrawn_at.reset();
        state.services.insert_or_assign(document.id, std::move(document));
    }
}

/// Marks the services that an earlier plan contained and `planned` does not.
void withdraw_services(configuration_state& state, const std::vector<planned_service>& planned, std::uint64_t revision)
{
    std::set<std::string> names;
    for (const auto& it : planned)
        names.insert(it.name);
    for (auto& [id, it] : state.services) {
        // A service that operators created by itself has a profile.
        if (it.profile.empty() && !it.withdrawn_at && !names.contains(it.name))
            it.withdrawn_at = revision;
    }
}

void put_route(configuration_state& state, const planned_route& it)
{
    route next{it.name, it.address, {}, {}, it.request_timeout, it.latency_target, it.priority, std::nullopt};
    for (const auto& target : it.targets) {
        if (const auto* const service = find_service(state, target.service))
            next.targets.push_back({service->id, target.weight});
    }
    const auto before = state.routes.find(it.address);
    // The flows of a withdrawn route have been ended, so a route that returns has no former targets.
    if (before != state.routes.end() && !before->second.withdrawn_at)
        next.former_targets = former_targets(before->second, next.targets);
    state.routes.insert_or_assign(it.address, std::move(next));
}

/// Removes the routes that were withdrawn first, down to max_withdrawn_routes.
void drop_oldest_withdrawn(configuration_state& state)
{
    std::vector<std::pair<std::uint64_t, service_address>> withdrawn;
    for (const auto& [address, it] : state.routes) {
        if (it.withdrawn_at)
            withdrawn.emplace_back(*it.withdrawn_at, address);
    }
    if (withdrawn.size() <= max_withdrawn_routes)
        return;
    std::sort(withdrawn.begin(), withdrawn.end());
    withdrawn.resize(withdrawn.size() - max_withdrawn_routes);
    for (const auto& it : withdrawn)
        state.routes.erase(it.second);
}

} // namespace

std::vector<plan_finding> find_errors(const route_plan& plan)
{
    std::vector<plan_finding> result;
    if (plan.revision == 0)
        result.push_back({plan_finding_kind::invalid_revision, "revision", "", "0", "a number above 0"});
    find_service_errors(plan.services, result);
    find_route_errors(plan, result);
    return result;
}

void validate(const route_plan& it)
{
    const auto errors = find_errors(it);
    if (!errors.empty())
        throw core::invalid_input(errors.front().path, errors.front().value, errors.front().expected);
}

change_route_plan make_route_plan_change(const configuration_state& state, const plan_document& current,
    const route_plan& next, const std::string& next_document)
{
    change_route_plan result;
    result.based_on = state.plan.revision;
    result.revision = next.revision;
    result.idle_timeout = next.idle_timeout;
    result.services = next.services;
    std::set<service_address> planned;
    for (const auto& it : next.routes) {
        planned.insert(it.address);
        const auto existing = state.routes.find(it.address);
        if (existing == state.routes.end() || !is_unchanged(state, existing->second, it))
            result.routes.push_back(it);
    }
    for (const auto& [address, it] : state.routes) {
        if (!it.withdrawn_at && !planned.contains(address))
            result.removed.push_back(address);
    }
    result.document = make_patch(current.text, next_document);
    return result;
}

void apply(configuration_state& state, const change_route_plan& change, const core::version& at)
{
    put_services(state, change.services, at);
    withdraw_services(state, change.services, change.revision);
    for (const auto& it : change.routes)
        put_route(state, it);
    for (const auto& it : change.removed) {
        const auto existing = state.routes.find(it);
        if (existing == state.routes.end())
            continue;
        existing->second.targets.clear();
        existing->second.former_targets.clear();
        existing->second.withdrawn_at = change.revision;
    }
    drop_oldest_withdrawn(state);
    state.plan = {change.revision, change.idle_timeout};
}

void drop_unused_services(configuration_state& state, const std::set<core::service_id>& in_use)
{
    std::set<core::service_id> dropped;
    for (const auto& [id, it] : state.services) {
        if (it.withdrawn_at && !in_use.contains(id))
            dropped.insert(id);
    }
    if (dropped.empty())
        return;
    std::erase_if(state.services, [&](const auto& it) { return dropped.contains(it.first); });
    for (auto& [address, it] : state.routes)
        std::erase_if(it.former_targets, [&](const auto& id) { return dropped.contains(id); });
}

} // namespace ibisdyke::configuration
