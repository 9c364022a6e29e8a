#include "ibisdyke/frontends/packets/forwarding_snapshot.h"

#include <utility>

namespace ibisdyke::frontends {

std::shared_ptr<const forwarding_snapshot> forwarding_snapshot::create(
    std::shared_ptr<const routing::routing_table> chains, const std::shared_ptr<const forwarding_snapshot>& previous,
    core::time_point now, routing::unreachable_set unreachable)
{
    auto headers = routing::wire::encoded_chains::create(
        *chains, previous ? previous->headers : nullptr, previous ? previous->table->chains : nullptr);
    auto table = routing::forwarding_table::create(
        std::move(chains), previous ? previous->table : nullptr, now, std::move(unreachable));
    return std::make_shared<const forwarding_snapshot>(forwarding_snapshot{std::move(table), std::move(headers)});
}

} // namespace ibisdyke::frontends
