#include "ibisdyke/routing/router_kind.h"

#include "ibisdyke/routing/chain_router.h"
#include "ibisdyke/routing/consistent_hash_router.h"
#include "ibisdyke/routing/flow_table_router.h"

#include <algorithm>
#include <array>
#include <utility>

namespace ibisdyke::routing {

namespace {

constexpr std::array<std::pair<std::string_view, router_kind>, 3> kinds{{
    {"chains", router_kind::chains},
    {"consistent-hashing", router_kind::consistent_hashing},
    {"flow-tables", router_kind::flow_tables},
}};

} // namespace

std::vector<std::string> router_names()
{
    std::vector<std::string> result;
    result.reserve(kinds.size());
    for (const auto& [name, kind] : kinds)
        result.emplace_back(name);
    return result;
}

std::optional<router_kind> find_router(std::string_view name)
{
    const auto* const it =
        std::find_if(kinds.begin(), kinds.end(), [name](const auto& entry) { return entry.first == name; });
    return it == kinds.end() ? std::nullopt : std::optional(it->second);
}

std::unique_ptr<router> create(router_kind kind)
{
    switch (kind) {
    case router_kind::chains:
        return std::make_unique<chain_router>();
    case router_kind::consistent_hashing:
        return std::make_unique<consistent_hash_router>();
    case router_kind::flow_tables:
        break;
    }
    return std::make_unique<flow_table_router>(flow_limits{});
}

} // namespace ibisdyke::routing
