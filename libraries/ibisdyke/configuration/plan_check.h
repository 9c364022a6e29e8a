#pragma once

#include "ibisdyke/configuration/plan_finding.h"
#include "ibisdyke/configuration/route_plan.h"

#include <vector>

namespace ibisdyke::configuration {

/// Checks a route plan before it is sent. Returns all reasons for which validate() would refuse it, then the entries
/// that have no effect and the limits that contradict each other.
std::vector<plan_finding> check_plan(const route_plan& plan);

/// Also compares the revision with that of the plan in force: only a plan with a higher revision takes effect.
std::vector<plan_finding> check_plan(const route_plan& plan, const route_plan& in_force);

bool has_errors(const std::vector<plan_finding>& findings);

} // namespace ibisdyke::configuration
