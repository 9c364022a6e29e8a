#include "ibisdyke/admission/messages.h"

#include "ibisdyke/configuration/messages.h"

#include <algorithm>

namespace ibisdyke::admission {

admission_settings create_settings(
    const configuration::profile& rules, std::uint32_t slots, std::uint32_t active_upstreams)
{
    admission_settings result;
    result.slots = std::max<std::uint32_t>(slots, 1);
    result.cold_start_share = rules.cold_start_share;
    result.cold_start_ramp = rules.cold_start_ramp;
    result.queue_per_slot = rules.queue_per_slot;
    result.queue_age_limit = rules.queue_age_limit;
    const auto upstream_count = static_cast<double>(std::max<std::uint32_t>(active_upstreams, 1));
    for (const auto& it : rules.neighbours) {
        const neighbour_policy policy{
            std::max<std::uint32_t>(it.weight, 1),
            static_cast<double>(it.limit_per_second) / upstream_count,
            static_cast<double>(it.burst) / upstream_count,
        };
        result.neighbours.emplace(it.name, policy);
    }
    return result;
}

} // namespace ibisdyke::admission
