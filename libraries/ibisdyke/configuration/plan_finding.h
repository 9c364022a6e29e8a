#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ibisdyke::configuration {

enum class finding_severity : std::uint8_t {
    /// The plan is refused or does not take effect.
    error,
    /// The plan takes effect, but a part of it has no effect or contradicts another part.
    warning,
    info,
};

/// What a check of a route plan can report.
enum class plan_finding_kind : std::uint8_t {
    invalid_revision,
    invalid_service_name,
    duplicate_service,
    duplicate_address,
    invalid_request_timeout,
    unknown_service,
    no_weight,
    /// The revision is below the one in force.
    outdated_revision,
    /// The plan in force has the same revision and other content.
    revision_conflict,
    no_routes,
    zero_weight,
    duplicate_target,
    /// The route has targets that its other targets take precedence over.
    overridden_targets,
    unused_service,
    latency_target_above_timeout,
    idle_timeout_below_request_timeout,
    cold_start_without_rate,
    cold_start_rate_without_duration,
    /// The route competes for a service with routes of other priorities, but has no latency target.
    priority_without_latency_target,
    already_in_force,
};

/// A result of the check of a route plan.
struct plan_finding {
    plan_finding_kind kind = plan_finding_kind::invalid_revision;
    /// Path of the field in the plan, for example "routes[2].request_timeout".
    std::string path;
    /// Name of the route or service that has the field; empty for a field of the plan itself.
    std::string name;
    /// The value of the field, with its unit.
    std::string value;
    std::string expected;

    friend bool operator==(const plan_finding&, const plan_finding&) = default;
};

finding_severity severity_of(plan_finding_kind kind);

/// Return the name of the value, for example "warning".
std::string_view to_string(finding_severity it);
std::string_view to_string(plan_finding_kind it);

} // namespace ibisdyke::configuration
