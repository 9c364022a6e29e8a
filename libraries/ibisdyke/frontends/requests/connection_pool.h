#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/transport/http2_client.h"

#include <QObject>

#include <cstdint>
#include <map>

namespace ibisdyke::frontends {

/// Keeps one HTTP/2 connection to each peer, opened on demand. Must be used on the thread that created it.
class connection_pool : public QObject {
public:
    /// Connections without open streams are closed after this time.
    static constexpr core::milliseconds idle_limit{60'000};

    connection_pool(std::uint32_t source_address, const transport::http2_limits& limits,
        transport::traffic_meter* meter, QObject* parent);

    transport::http2_client& find_or_create(const core::endpoint& peer, core::time_point now);

    /// Closes the connections that have been idle for at least `idle_limit`.
    void close_idle(core::time_point now);

    std::size_t size() const { return connections_.size(); }

private:
    struct entry {
        transport::http2_client* client = nullptr;
        core::time_point used_at;
    };

    std::uint32_t source_address_;
    transport::http2_limits limits_;
    transport::traffic_meter* meter_;
    std::map<core::endpoint, entry> connections_;
};

} // namespace ibisdyke::frontends
