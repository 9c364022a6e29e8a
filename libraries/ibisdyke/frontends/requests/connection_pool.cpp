#include "ibisdyke/frontends/requests/connection_pool.h"

namespace ibisdyke::frontends {

connection_pool::connection_pool(std::uint32_t source_address, const transport::http2_limits& limits,
    transport::traffic_meter* meter, QObject* parent)
    : QObject(parent)
    , source_address_(source_address)
    , limits_(limits)
    , meter_(meter)
{
}

transport::http2_client& connection_pool::find_or_create(const core::endpoint& peer, core::time_point now)
{
    auto& it = connections_[peer];
    if (it.client == nullptr)
        it.client = new transport::http2_client(peer, source_address_, limits_, meter_, this);
    it.used_at = now;
    return *it.client;
}

void connection_pool::close_idle(core::time_point now)
{
    for (auto it = connections_.begin(); it != connections_.end();) {
        // open_streams() does not count streams that wait for the connection to be established, but no stream waits as
        // long as idle_limit.
        if (it->second.client->open_streams() > 0 || now - it->second.used_at < idle_limit) {
            ++it;
            continue;
        }
        it->second.client->deleteLater();
        it = connections_.erase(it);
    }
}

} // namespace ibisdyke::frontends
