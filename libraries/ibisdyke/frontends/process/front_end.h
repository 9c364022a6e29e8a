#pragma once

#include "ibisdyke/configuration/route_plan.h"
#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/frontends/administration/admin_server.h"
#include "ibisdyke/frontends/control/route_plan_service.h"
#include "ibisdyke/frontends/packets/packet_format.h"
#include "ibisdyke/membership/upstream_presence.h"

#include <QByteArray>

#include <memory>
#include <string>

class QHttpServer;

namespace ibisdyke::frontends {

/// Receives the announcements of an upstream.
class announcement_sink {
public:
    virtual ~announcement_sink() = default;
    virtual void on_announcement(const membership::announcement& it) = 0;
    /// The upstream with this id has announced that it is gone.
    virtual void on_leave(const std::string& id) = 0;
};

/// Adapts a process to the protocols of its deployment: the packet formats of callers and upstreams, and the HTTP
/// interfaces for health checks, announcements and operators that a process serves in addition to its own. A front end
/// only translates messages; it makes no decisions.
class front_end {
public:
    virtual ~front_end() = default;

    /// Returns the format of packets from and to callers. Packets to callers are sent to `return_endpoint`; the format
    /// defines what this endpoint means.
    virtual std::shared_ptr<const packet_format> callers(const core::endpoint& return_endpoint) const = 0;

    /// Returns the format of packets that upstreams send through their agents, or null when upstreams answer callers
    /// without the agent.
    virtual std::shared_ptr<const upstream_packet_format> upstreams() const = 0;

    /// Parses the document in which operators write a route plan. The values are validated separately by
    /// configuration::validate(). Throws core::invalid_input when a field is missing or malformed, or when the front
    /// end has no such documents.
    virtual configuration::route_plan read_plan(const QByteArray& document) const = 0;

    /// The following functions add HTTP routes to `server`. Whatever their other argument refers to must outlive the
    /// server.
    virtual void serve_health(QHttpServer& server, admin_server::health_check check) const = 0;
    virtual void serve_announcements(QHttpServer& server, announcement_sink& sink) const = 0;
    virtual void serve_operators(QHttpServer& server, route_plan_service& plans) const = 0;
};

/// The default front end: IP packets in UDP datagrams. Health checks and operators use the administration address.
class ip_front_end final : public front_end {
public:
    std::shared_ptr<const packet_format> callers(const core::endpoint& return_endpoint) const override;
    std::shared_ptr<const upstream_packet_format> upstreams() const override { return nullptr; }
    configuration::route_plan read_plan(const QByteArray& document) const override;
    void serve_health(QHttpServer& /*server*/, admin_server::health_check /*check*/) const override { }
    void serve_announcements(QHttpServer& /*server*/, announcement_sink& /*sink*/) const override { }
    void serve_operators(QHttpServer& /*server*/, route_plan_service& /*plans*/) const override { }
};

} // namespace ibisdyke::frontends
