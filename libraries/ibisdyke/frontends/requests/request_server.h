#pragma once

#include "ibisdyke/admission/admission_policy.h"
#include "ibisdyke/core/snapshot_publisher.h"
#include "ibisdyke/dissemination/system_state.h"
#include "ibisdyke/frontends/requests/connection_pool.h"
#include "ibisdyke/frontends/requests/record_holders.h"
#include "ibisdyke/frontends/requests/usage_meter.h"
#include "ibisdyke/observability/counter_sink.h"
#include "ibisdyke/requests/idempotency_records.h"
#include "ibisdyke/routing/routing_table.h"
#include "ibisdyke/transport/http2_server.h"
#include "ibisdyke/transport/rpc_router.h"

#include <QObject>
#include <QTimer>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ibisdyke::frontends {

class server_request;
struct attempt_request;

/// What the control group says about this agent.
struct agent_identity {
    core::upstream_id id;
    core::service_id service;
    /// The start of this process when an earlier process served the same upstream id, whose records are lost; nothing
    /// when this process is the first one of its upstream id.
    std::optional<core::wall_time> records_complete_since;
    /// New work is refused.
    bool draining = false;

    friend bool operator==(const agent_identity&, const agent_identity&) = default;
};

struct server_settings {
    /// Where balancers send attempts and peers send lookups.
    core::endpoint listen;
    /// Where the upstream takes requests (HTTP/2 without TLS).
    core::endpoint upstream;
    core::incarnation incarnation;
    core::failure_domain domain;
    std::uint32_t slots = 1;
    /// Local IPv4 address (host byte order) of outgoing connections; 0 lets the system choose.
    std::uint32_t source_address = 0;
    requests::record_limits records;
    core::milliseconds stalled_reader_limit{30'000};
    core::milliseconds drain_limit{30'000};
    /// How long a stopping agent still answers lookups: 2 s until all agents know that it drains, 2 s in which requests
    /// sent before may reach it, and 2 s for clocks that differ. Peers ask it no longer for keys first sent later.
    core::milliseconds lookup_linger{6'000};
    transport::http2_limits limits{};
};

/// What a request server gets from the rest of its process. All of it must outlive the server.
struct server_parts {
    const core::snapshot_publisher<dissemination::system_state>& state;
    const core::snapshot_publisher<routing::routing_table>& routes;
    /// Holds null until the upstream's join record is committed; requests are refused until then.
    const core::snapshot_publisher<agent_identity>& identity;
    usage_meter& usage;
    observability::counter_sink& counters;
    /// Counts the bytes of all connections; may be null.
    transport::traffic_meter* traffic = nullptr;
    /// Called on the request thread when a sender knows a newer version of the system state. May be empty.
    std::function<void(const core::version&)> on_newer_version{};
};

/// The agent's side of the request path: takes balancers' attempts, admits them, keeps the records of non-idempotent
/// requests and passes requests to the upstream. Lives on the request thread.
///
/// Example:
///
///     request_thread thread("requests");
///     request_server* server = nullptr;
///     thread.run([&] {
///         server = new request_server(settings, {state, routes, identity, usage, counters, &traffic, refresh},
///             admission::share_admission::create({.slots = settings.slots}), thread.parent());
///         server->router().add_call("/dissemination/version", handler);
///     });
///     thread.post([&] { server->begin_cold_start(); });
class request_server : public QObject, public transport::http2_stream_acceptor {
public:
    /// Listens at once. Throws core::system_failure when the address cannot be bound. The upstream begins in cold
    /// start.
    request_server(const server_settings& settings, server_parts parts,
        std::unique_ptr<admission::admission_policy> admission, QObject* parent);

    ~request_server() override;
    request_server(const request_server&) = delete;
    request_server& operator=(const request_server&) = delete;
    request_server(request_server&&) = delete;
    request_server& operator=(request_server&&) = delete;

    core::endpoint address() const { return server_->address(); }

    /// Calls of peers to this endpoint; `/requests/lookup` is taken.
    transport::rpc_router& router() { return router_; }

    /// The upstream has returned from an absence.
    void begin_cold_start();

    /// Refuses new requests and finishes open ones. `drained` runs once, when none is left and lookups have been
    /// answered for a while longer, or at the drain limit.
    void shut_down(std::function<void()> drained);

    /// New flows per second that the upstream may take now; infinity when there is no limit. Callable from any thread.
    double allowed_flows_per_second() const { return flows_per_second_.load(std::memory_order_relaxed); }

    /// Callable from any thread; up to one tick (50 ms) old.
    admission::admission_status status() const;

    std::size_t open_requests() const { return requests_.size(); }

    std::shared_ptr<transport::http2_stream_listener> accept(const std::shared_ptr<transport::http2_stream>& stream,
        const transport::header_list& headers, transport::end_of_stream end) override;

private:
    friend class server_request;

    std::optional<std::string> refusal(const transport::header_list& headers) const;
    std::optional<attempt_request> read_attempt(const transport::header_list& headers) const;
    std::shared_ptr<transport::http2_stream_listener> refuse(
        const std::shared_ptr<transport::http2_stream>& stream, const transport::header_list& headers);
    void refresh();
    void configure_admission(const dissemination::system_state& state, const agent_identity& self);
    void offer(const std::shared_ptr<server_request>& request);
    void apply(const admission::admission_decision& decision);
    void schedule_advance();
    void answer_lookup(const std::string& body, const std::shared_ptr<transport::rpc_responder>& responder);
    /// Names this process in an answer to a peer.
    requests::lookup_answer sign(requests::lookup_answer it) const;
    void end_record(
        const requests::record_key& key, core::verdict outcome, std::optional<requests::stored_answer> answer);
    void forget(const std::shared_ptr<server_request>& request);
    void report_drained();
    void finish_stop();
    void tick();

    server_settings settings_;
    server_parts parts_;
    std::unique_ptr<admission::admission_policy> admission_;
    connection_pool* peers_;
    connection_pool* upstream_;
    transport::rpc_router router_;
    transport::http2_server* server_;
    QTimer tick_timer_;
    QTimer advance_timer_;
    std::optional<agent_identity> identity_;
    std::unique_ptr<requests::idempotency_records> records_;
    std::unique_ptr<record_holders> holders_;
    dissemination::system_state_snapshot seen_state_;
    std::shared_ptr<const routing::routing_table> seen_routes_;
    bool domain_in_ = true;
    admission::work_id next_work_ = 1;
    std::set<std::shared_ptr<server_request>> requests_;
    std::map<admission::work_id, std::shared_ptr<server_request>> admitted_;
    /// The request that holds the claim of a key.
    std::map<requests::record_key, std::weak_ptr<server_request>> claims_;
    std::map<requests::record_key, std::vector<std::weak_ptr<server_request>>> waiters_;
    std::map<requests::record_key, std::vector<std::shared_ptr<transport::rpc_responder>>> waiting_peers_;
    std::function<void()> drained_;
    bool shutting_down_ = false;
    /// Set while a stop waits for open requests and lookups.
    std::optional<core::time_point> stop_not_before_;
    std::atomic<double> flows_per_second_{0};
    core::snapshot_publisher<admission::admission_status> status_;
    int ticks_ = 0;
};

} // namespace ibisdyke::frontends
