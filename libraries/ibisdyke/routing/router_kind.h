#pragma once

#include "ibisdyke/routing/router.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibisdyke::routing {

/// The routers that a balancer can run. `chains` is for production use; the others are baselines for comparison.
enum class router_kind : std::uint8_t {
    chains,
    consistent_hashing,
    flow_tables,
};

/// Returns the names of all routers, beginning with "chains".
std::vector<std::string> router_names();

/// Returns the router with this name, or nothing when there is none.
std::optional<router_kind> find_router(std::string_view name);

std::unique_ptr<router> create(router_kind kind);

} // namespace ibisdyke::routing
