#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/frontends/administration/admin_server.h"
#include "ibisdyke/frontends/control/route_plan_service.h"
#include "ibisdyke/frontends/packets/packet_format.h"
#include "ibisdyke/membership/upstream_presence.h"

#include <memory>
#include <string>

class QHttpServer;

namespace ibisdyke::frontends {

/// Takes what an upstream says of itself.
class announcement_sink {
public:
    virtual ~announcement_sink() = default;
    virtual void on_announcement(const membership::announcement& it) = 0;
    virtual void on_leave(const std::string& id) = 0;
};

/// How the world around a deployment speaks: the packets of callers and upstreams, and the interfaces for health,
/// announcements and operators that a process offers there besides its own. It translates and decides nothing.
class front_end {
public:
    virtual ~front_end() = default;

    /// Returns the format of callers' packets. Those to callers leave through `caller_return`, whose meaning is the
    /// format's own.
    virtual std::shared_ptr<const packet_format> callers(const core::endpoint& caller_return) const = 0;

    /// Returns the format of what upstreams hand to their agents, or null when their answers do not pass the agent.
    virtual std::shared_ptr<const upstream_packet_format> upstreams() const = 0;

    /// Each of these adds routes to a server. What they are given must outlive the server.
    virtual void serve_health(QHttpServer& server, admin_server::health_check check) const = 0;
    virtual void serve_announcements(QHttpServer& server, announcement_sink& sink) const = 0;
    virtual void serve_operators(QHttpServer& server, route_plan_service& plans) const = 0;
};

/// The product's own world: IP packets in UDP datagrams. Health and operators are served at the administration address.
class ip_front_end final : public front_end {
public:
    std::shared_ptr<const packet_format> callers(const core::endpoint& caller_return) const override;
    std::shared_ptr<const upstream_packet_format> upstreams() const override { return nullptr; }
    void serve_health(QHttpServer& /*server*/, admin_server::health_check /*check*/) const override { }
    void serve_announcements(QHttpServer& /*server*/, announcement_sink& /*sink*/) const override { }
    void serve_operators(QHttpServer& /*server*/, route_plan_service& /*plans*/) const override { }
};

} // namespace ibisdyke::frontends
