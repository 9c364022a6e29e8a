#include "ibisdyke/dissemination/delta.h"

#include <algorithm>
#include <set>

namespace ibisdyke::dissemination {

namespace {

/// Collects the new and changed records of `after`, and the keys that are only in `before`. Both maps are sorted by
/// key, so that one pass is enough.
template <typename Map, typename Record, typename Key>
void compare_records(const Map& before, const Map& after, std::vector<Record>& changed, std::vector<Key>& removed)
{
    auto previous = before.begin();
    for (const auto& [key, value] : after) {
        while (previous != before.end() && previous->first < key)
            removed.push_back((previous++)->first);
        const bool existed = previous != before.end() && previous->first == key;
        if (!existed || !(previous->second == value))
            changed.push_back(value);
        if (existed)
            ++previous;
    }
    for (; previous != before.end(); ++previous)
        removed.push_back(previous->first);
}

/// Applies the changed and removed records of a delta. `key_of` returns the key of a record.
template <typename Map, typename Record, typename Key, typename KeyOf>
void update_records(Map& records, const std::vector<Record>& changed, const std::vector<Key>& removed, KeyOf key_of)
{
    for (const auto& it : removed)
        records.erase(it);
    for (const auto& it : changed)
        records.insert_or_assign(key_of(it), it);
}

const std::string& key_of_profile(const configuration::profile& it)
{
    return it.name;
}

const core::service_id& key_of_service(const configuration::service& it)
{
    return it.id;
}

const core::failure_domain& key_of_domain(const configuration::domain& it)
{
    return it.name;
}

const core::upstream_id& key_of_upstream(const membership::upstream& it)
{
    return it.id;
}

const configuration::service_address& key_of_route(const configuration::route& it)
{
    return it.address;
}

const std::string& key_of_token(const configuration::token& it)
{
    return it.digest;
}

/// Collects the new and changed endpoints of `after`, and the keys that are only in `before`.
template <typename Key>
void compare_endpoints(const std::map<Key, core::endpoint>& before, const std::map<Key, core::endpoint>& after,
    std::map<Key, core::endpoint>& changed, std::vector<Key>& removed)
{
    for (const auto& [key, endpoint] : after) {
        const auto existing = before.find(key);
        if (existing == before.end() || existing->second != endpoint)
            changed.emplace(key, endpoint);
    }
    for (const auto& [key, endpoint] : before) {
        if (!after.contains(key))
            removed.push_back(key);
    }
}

template <typename Key>
void update_endpoints(std::map<Key, core::endpoint>& endpoints, const std::map<Key, core::endpoint>& changed,
    const std::vector<Key>& removed)
{
    for (const auto& it : removed)
        endpoints.erase(it);
    for (const auto& [key, endpoint] : changed)
        endpoints.insert_or_assign(key, endpoint);
}

template <typename Key>
void merge_endpoints(std::map<Key, core::endpoint>& changed, std::vector<Key>& removed,
    const std::map<Key, core::endpoint>& later_changed, const std::vector<Key>& later_removed)
{
    std::set<Key> removed_keys(removed.begin(), removed.end());
    for (const auto& it : later_removed) {
        changed.erase(it);
        removed_keys.insert(it);
    }
    for (const auto& [key, endpoint] : later_changed) {
        changed.insert_or_assign(key, endpoint);
        removed_keys.erase(key);
    }
    removed.assign(removed_keys.begin(), removed_keys.end());
}

/// Merges the records of two deltas. For each key, the later delta decides.
template <typename Record, typename Key, typename KeyOf>
void merge_records(std::vector<Record>& changed, std::vector<Key>& removed, const std::vector<Record>& later_changed,
    const std::vector<Key>& later_removed, KeyOf key_of)
{
    std::map<Key, const Record*> records;
    std::set<Key> removed_keys(removed.begin(), removed.end());
    for (const auto& it : changed)
        records.insert_or_assign(key_of(it), &it);
    for (const auto& it : later_removed) {
        records.erase(it);
        removed_keys.insert(it);
    }
    for (const auto& it : later_changed) {
        records.insert_or_assign(key_of(it), &it);
        removed_keys.erase(key_of(it));
    }
    std::vector<Record> merged;
    merged.reserve(records.size());
    for (const auto& [key, record] : records)
        merged.push_back(*record);
    changed = std::move(merged);
    removed.assign(removed_keys.begin(), removed_keys.end());
}

} // namespace

delta difference(const system_state& before, const system_state& after)
{
    delta result;
    result.from = before.applied;
    result.to = after.applied;
    const auto& from = before.configuration;
    const auto& to = after.configuration;
    std::vector<core::failure_domain> removed_domains;
    compare_records(from.profiles, to.profiles, result.profiles, result.removed_profiles);
    compare_records(from.services, to.services, result.services, result.removed_services);
    // The record of a domain is never removed, because its history is needed.
    compare_records(from.domains, to.domains, result.domains, removed_domains);
    compare_records(from.tokens, to.tokens, result.tokens, result.removed_tokens);
    compare_records(
        before.membership.upstreams, after.membership.upstreams, result.upstreams, result.removed_upstreams);
    compare_records(from.routes, to.routes, result.routes, result.removed_routes);
    result.plan = to.plan;
    compare_endpoints(before.membership.relays, after.membership.relays, result.relays, result.removed_relays);
    compare_endpoints(before.membership.controls, after.membership.controls, result.controls, result.removed_controls);
    return result;
}

system_state_snapshot apply(const system_state& before, const delta& change)
{
    if (change.from != before.applied || change.to <= before.applied)
        return nullptr;
    auto after = std::make_shared<system_state>(before);
    after->applied = change.to;
    auto& configuration = after->configuration;
    update_records(configuration.profiles, change.profiles, change.removed_profiles, key_of_profile);
    update_records(configuration.services, change.services, change.removed_services, key_of_service);
    update_records(configuration.domains, change.domains, std::vector<core::failure_domain>{}, key_of_domain);
    update_records(configuration.tokens, change.tokens, change.removed_tokens, key_of_token);
    update_records(after->membership.upstreams, change.upstreams, change.removed_upstreams, key_of_upstream);
    update_records(configuration.routes, change.routes, change.removed_routes, key_of_route);
    configuration.plan = change.plan;
    update_endpoints(after->membership.relays, change.relays, change.removed_relays);
    update_endpoints(after->membership.controls, change.controls, change.removed_controls);
    return after;
}

delta merge(const delta& first, const delta& second)
{
    auto result = first;
    result.to = second.to;
    std::vector<core::failure_domain> removed_domains;
    merge_records(result.profiles, result.removed_profiles, second.profiles, second.removed_profiles, key_of_profile);
    merge_records(result.services, result.removed_services, second.services, second.removed_services, key_of_service);
    merge_records(result.domains, removed_domains, second.domains, {}, key_of_domain);
    merge_records(
        result.upstreams, result.removed_upstreams, second.upstreams, second.removed_upstreams, key_of_upstream);
    merge_records(result.tokens, result.removed_tokens, second.tokens, second.removed_tokens, key_of_token);
    merge_records(result.routes, result.removed_routes, second.routes, second.removed_routes, key_of_route);
    result.plan = second.plan;
    merge_endpoints(result.relays, result.removed_relays, second.relays, second.removed_relays);
    merge_endpoints(result.controls, result.removed_controls, second.controls, second.removed_controls);
    return result;
}

std::size_t memory_bytes(const delta& it)
{
    const auto sum = [](const auto& records, const auto& content_bytes) {
        std::size_t result = 0;
        for (const auto& record : records)
            result += sizeof(record) + content_bytes(record);
        return result;
    };
    const auto fixed = [](const auto&) { return std::size_t{0}; };
    const auto text = [](const std::string& name) { return name.size(); };
    const auto named = [](const auto& entry) { return entry.first.size(); };
    return sizeof(it) + sum(it.profiles, [](const auto& p) { return p.neighbours.size() * sizeof(p.neighbours[0]); })
        + sum(it.removed_profiles, text)
        + sum(it.services, [](const auto& s) { return s.name.size() + s.addresses.size() * sizeof(s.addresses[0]); })
        + sum(it.removed_services, fixed)
        + sum(it.domains, [](const auto& d) { return d.history.size() * sizeof(d.history[0]); })
        + sum(it.upstreams,
            [](const auto& u) {
                return u.name.size() + u.domain.value().size() + u.history.size() * sizeof(u.history[0]);
            })
        + sum(it.removed_upstreams, fixed) + sum(it.tokens, [](const auto& t) { return t.digest.size(); })
        + sum(it.removed_tokens, text) + sum(it.relays, named) + sum(it.removed_relays, text) + sum(it.controls, fixed)
        + sum(it.removed_controls, fixed)
        + sum(it.routes,
            [](const auto& r) {
                return r.name.size() + r.targets.size() * sizeof(r.targets[0])
                    + r.former_targets.size() * sizeof(r.former_targets[0]);
            })
        + sum(it.removed_routes, fixed);
}

} // namespace ibisdyke::dissemination
