#include "measure/proxy/fault_proxy.h"

#include <utility>

namespace ibisdyke::measure {

fault_proxy::fault_proxy(
    const std::vector<route>& routes, std::map<std::uint32_t, std::string> names, link_table links, std::uint64_t seed)
    : context_{std::move(links), std::move(names), {}, 0, std::mt19937_64(seed), &delays_}
    , delays_(nullptr)
{
    for (const auto& it : routes) {
        if (it.kind == route_kind::datagrams)
            new datagram_relay(it, context_, parent_.get());
        else
            relays_.push_back(new connection_relay(it, context_, parent_.get()));
    }
}

void fault_proxy::open(const std::string& target)
{
    for (auto* const it : relays_) {
        if (it->target() == target)
            it->open();
    }
}

void fault_proxy::close(const std::string& target)
{
    for (auto* const it : relays_) {
        if (it->target() == target)
            it->close();
    }
}

void fault_proxy::change(const std::function<void(link_table&)>& change)
{
    change(context_.links);
    for (auto* const it : relays_)
        it->flush();
}

} // namespace ibisdyke::measure
