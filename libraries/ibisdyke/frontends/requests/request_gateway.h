#pragma once

#include "ibisdyke/core/snapshot_publisher.h"
#include "ibisdyke/dissemination/system_state.h"
#include "ibisdyke/frontends/requests/connection_pool.h"
#include "ibisdyke/observability/counter_sink.h"
#include "ibisdyke/requests/attempt_selector.h"
#include "ibisdyke/requests/retry_budget.h"
#include "ibisdyke/routing/routing_table.h"
#include "ibisdyke/transport/http2_server.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace ibisdyke::frontends {

class gateway_attempt;
class gateway_request;

struct gateway_settings {
    /// The address at which the gateway accepts callers' requests.
    core::endpoint listen;
    /// Local IPv4 address (host byte order) of connections to agents; 0 lets the system choose.
    std::uint32_t source_address = 0;
    /// Requests with larger bodies get status 413.
    std::uint64_t max_request_bytes = std::uint64_t{16} * 1024 * 1024;
    /// Request bodies up to this size are kept in memory, so that the request can be retried at another upstream.
    std::size_t max_replay_bytes = std::size_t{256} * 1024;
    /// The stream of a caller that reads nothing of its answer for this long is reset.
    core::milliseconds stalled_reader_limit{30'000};
    /// How long shut_down() waits for open requests to finish.
    core::milliseconds drain_limit{30'000};
    transport::http2_limits limits{};
};

/// The dependencies of a gateway. All of them must outlive it.
struct gateway_parts {
    const core::snapshot_publisher<dissemination::system_state>& state;
    const core::snapshot_publisher<routing::routing_table>& routes;
    observability::counter_sink& counters;
    /// Counts the bytes of all connections; may be null.
    transport::traffic_meter* traffic = nullptr;
    /// Called on the request thread when an agent knows a newer version of the system state. May be empty.
    std::function<void(const core::version&)> on_newer_version{};
};

/// The balancer's side of the request path: accepts callers' requests and sends attempts to agents. Runs on the request
/// thread.
///
/// Example:
///
///     request_thread thread("requests");
///     request_gateway* gateway = nullptr;
///     const gateway_settings settings{.listen = values.endpoint("listen-requests"), .source_address = address};
///     thread.run([&] {
///         gateway = new request_gateway(settings, {state, routes, counters, &traffic, refresh},
///             std::make_unique<requests::chain_order_selector>(), thread.parent());
///     });
class request_gateway : public QObject, public transport::http2_stream_acceptor {
public:
    /// Starts to listen. Throws core::system_failure when the address cannot be bound.
    request_gateway(const gateway_settings& settings, gateway_parts parts,
        std::unique_ptr<requests::attempt_selector> selector, QObject* parent);

    ~request_gateway() override;
    request_gateway(const request_gateway&) = delete;
    request_gateway& operator=(const request_gateway&) = delete;
    request_gateway(request_gateway&&) = delete;
    request_gateway& operator=(request_gateway&&) = delete;

    /// Returns the address that the gateway listens on.
    core::endpoint address() const { return server_->address(); }

    /// Refuses new requests and finishes open ones. Calls `on_drained` once, when no request is open any more or when
    /// the drain limit has passed.
    void shut_down(std::function<void()> on_drained);

    std::size_t open_requests() const { return requests_.size(); }

    std::shared_ptr<transport::http2_stream_listener> accept(const std::shared_ptr<transport::http2_stream>& stream,
        const transport::header_list& headers, transport::end_of_stream end) override;

private:
    friend class gateway_request;
    friend class gateway_attempt;

    struct service_entry {
        core::service_id id;
        double retry_share = 0;
    };

    void refresh_services(const dissemination::system_state_snapshot& state);
    const service_entry* find_service(std::string_view authority) const;
    std::string choose_key(const core::service_id& service) const;
    requests::retry_budget& retry_budget_of(const core::service_id& service);
    void report_newer_version(const core::version& received);
    std::shared_ptr<transport::http2_stream_listener> reject(
        const std::shared_ptr<transport::http2_stream>& stream, const char* status, const std::string& reason);
    void remove_request(const std::shared_ptr<gateway_request>& request);
    void report_drained();
    void tick();

    gateway_settings settings_;
    gateway_parts parts_;
    std::unique_ptr<requests::attempt_selector> selector_;
    connection_pool* agent_connections_;
    transport::http2_server* server_;
    QTimer tick_timer_;
    dissemination::system_state_snapshot indexed_state_;
    std::map<std::string, service_entry, std::less<>> services_;
    std::map<core::service_id, requests::retry_budget> budgets_;
    std::set<std::shared_ptr<gateway_request>> requests_;
    std::function<void()> on_drained_;
};

} // namespace ibisdyke::frontends
