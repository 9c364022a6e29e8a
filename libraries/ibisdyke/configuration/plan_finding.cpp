#include "ibisdyke/configuration/plan_finding.h"

namespace ibisdyke::configuration {

finding_severity severity_of(plan_finding_kind kind)
{
    switch (kind) {
    case plan_finding_kind::invalid_revision:
    case plan_finding_kind::invalid_service_name:
    case plan_finding_kind::duplicate_service:
    case plan_finding_kind::duplicate_address:
    case plan_finding_kind::invalid_request_timeout:
    case plan_finding_kind::unknown_service:
    case plan_finding_kind::no_weight:
    case plan_finding_kind::outdated_revision:
    case plan_finding_kind::revision_conflict:
        return finding_severity::error;
    case plan_finding_kind::no_routes:
    case plan_finding_kind::zero_weight:
    case plan_finding_kind::duplicate_target:
    case plan_finding_kind::overridden_targets:
    case plan_finding_kind::unused_service:
    case plan_finding_kind::latency_target_above_timeout:
    case plan_finding_kind::idle_timeout_below_request_timeout:
    case plan_finding_kind::cold_start_without_rate:
    case plan_finding_kind::cold_start_rate_without_duration:
    case plan_finding_kind::priority_without_latency_target:
        return finding_severity::warning;
    case plan_finding_kind::already_in_force:
        break;
    }
    return finding_severity::info;
}

std::string_view to_string(finding_severity it)
{
    switch (it) {
    case finding_severity::error:
        return "error";
    case finding_severity::warning:
        return "warning";
    case finding_severity::info:
        break;
    }
    return "info";
}

std::string_view to_string(plan_finding_kind it)
{
    switch (it) {
    case plan_finding_kind::invalid_revision:
        return "invalid_revision";
    case plan_finding_kind::invalid_service_name:
        return "invalid_service_name";
    case plan_finding_kind::duplicate_service:
        return "duplicate_service";
    case plan_finding_kind::duplicate_address:
        return "duplicate_address";
    case plan_finding_kind::invalid_request_timeout:
        return "invalid_request_timeout";
    case plan_finding_kind::unknown_service:
        return "unknown_service";
    case plan_finding_kind::no_weight:
        return "no_weight";
    case plan_finding_kind::outdated_revision:
        return "outdated_revision";
    case plan_finding_kind::revision_conflict:
        return "revision_conflict";
    case plan_finding_kind::no_routes:
        return "no_routes";
    case plan_finding_kind::zero_weight:
        return "zero_weight";
    case plan_finding_kind::duplicate_target:
        return "duplicate_target";
    case plan_finding_kind::overridden_targets:
        return "overridden_targets";
    case plan_finding_kind::unused_service:
        return "unused_service";
    case plan_finding_kind::latency_target_above_timeout:
        return "latency_target_above_timeout";
    case plan_finding_kind::idle_timeout_below_request_timeout:
        return "idle_timeout_below_request_timeout";
    case plan_finding_kind::cold_start_without_rate:
        return "cold_start_without_rate";
    case plan_finding_kind::cold_start_rate_without_duration:
        return "cold_start_rate_without_duration";
    case plan_finding_kind::priority_without_latency_target:
        return "priority_without_latency_target";
    case plan_finding_kind::already_in_force:
        break;
    }
    return "already_in_force";
}

} // namespace ibisdyke::configuration
