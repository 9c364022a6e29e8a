#include "ibisdyke/routing/forwarding_table.h"

#include <utility>

namespace ibisdyke::routing {

std::shared_ptr<const forwarding_table> forwarding_table::create(std::shared_ptr<const routing_table> chains,
    const std::shared_ptr<const forwarding_table>& previous, core::time_point now, unreachable_set unreachable)
{
    auto ages =
        chain_ages::create(*chains, previous ? previous->ages : nullptr, previous ? previous->chains : nullptr, now);
    return std::make_shared<const forwarding_table>(
        forwarding_table{std::move(chains), std::move(ages), std::move(unreachable)});
}

} // namespace ibisdyke::routing
