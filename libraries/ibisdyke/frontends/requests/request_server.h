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

/// What the control group has recorded about this agent.
struct agent_identity {
    core::upstream_id id;
    core::service_id service;
    /// The start time of this process if an earlier process served the same upstream id; the records of that process
    /// are lost. Nothing if this process is the first one of its upstream id.
    std::optional<core::wall_time> records_complete_since;
    /// Whether new requests are refused because the upstream drains.
    bool draining = false;

    friend bool operator==(const agent_identity&, const agent_identity&) = default;
};

struct server_settings {
    /// The address at which balancers send attempts and peers send lookups.
    core::endpoint listen;
    /// The address at which the upstream accepts requests (HTTP/2 without TLS).
    core::endpoint upstream;
    core::incarnation incarnation;
    core::failure_domain domain;
    std::uint32_t slots = 1;
    /// Local IPv4 address (host byte order) of outgoing connections; 0 lets the system choose.
    std::uint32_t source_address = 0;
    requests::record_limits records;
    core::milliseconds stalled_reader_limit{30'000};
    core::milliseconds drain_limit{30'000};
    /// How long a stopping agent keeps answering lookups: 2 s until all agents know that it drains, 2 s for requests
    /// already in transit to it, and 2 s of clock skew. Peers do not look up keys here that were first sent later.
    core::milliseconds lookup_linger{6'000};
    transport::http2_limits limits{};
};

/// The dependencies of a request server. All of them must outlive it.
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

/// The agent's side of the request path: accepts balancers' attempts, applies admission control, keeps the records of
/// non-idempotent requests and forwards requests to the upstream. Runs on the request thread.
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
    /// Starts to listen, with the upstream in cold start. Throws core::system_failure when the address cannot be bound.
    request_server(const server_settings& settings, server_parts parts,
        std::unique_ptr<admission::admission_policy> admission, QObject* parent);

    ~request_server() override;
    request_server(const request_server&) = delete;
    request_server& operator=(const request_server&) = delete;
    request_server(request_server&&) = delete;
    request_server& operator=(request_server&&) = delete;

    core::endpoint address() const { return server_->address(); }

    /// Routes peers' calls to this endpoint. The server itself handles `/requests/lookup`.
    transport::rpc_router& router() { return router_; }

    /// Called when the upstream is back after it was unavailable.
    void begin_cold_start();

    /// Refuses new requests, finishes open ones and answers lookups for at least `lookup_linger`. Calls `on_drained`
    /// once, when all that is done or when the drain limit has passed.
    void shut_down(std::function<void()> on_drained);

    /// Returns the number of new flows per second that the upstream may accept now; infinity when there is no limit.
    /// May be called from any thread.
    double allowed_flows_per_second() const { return flows_per_second_.load(std::memory_order_relaxed); }

    /// May be called from any thread. The result is up to one tick (50 ms) old.
    admission::admission_status status() const;

    std::size_t open_requests() const { return requests_.size(); }

    std::shared_ptr<transport::http2_stream_listener> accept(const std::shared_ptr<transport::http2_stream>& stream,
        const transport::header_list& headers, transport::end_of_stream end) override;

private:
    friend class server_request;

    std::optional<std::string> refusal_reason(const transport::header_list& headers) const;
    std::optional<attempt_request> read_attempt(const transport::header_list& headers) const;
    std::shared_ptr<transport::http2_stream_listener> refuse(
        const std::shared_ptr<transport::http2_stream>& stream, const transport::header_list& headers);
    void load_snapshots();
    void configure_admission(const dissemination::system_state& state, const agent_identity& self);
    void offer(const std::shared_ptr<server_request>& request);
    void apply_admission(const admission::admission_decision& decision);
    void schedule_advance();
    void answer_lookup(const std::string& body, const std::shared_ptr<transport::rpc_responder>& responder);
    /// Adds this process's agent id and incarnation to an answer to a peer.
    requests::lookup_answer with_own_instance(requests::lookup_answer it) const;
    void end_record(
        const requests::record_key& key, core::verdict outcome, std::optional<requests::stored_answer> answer);
    void remove_request(const std::shared_ptr<server_request>& request);
    void report_drained();
    void shut_down_connections();
    void tick();

    server_settings settings_;
    server_parts parts_;
    std::unique_ptr<admission::admission_policy> admission_;
    connection_pool* peer_connections_;
    connection_pool* upstream_connections_;
    transport::rpc_router router_;
    transport::http2_server* server_;
    QTimer tick_timer_;
    QTimer advance_timer_;
    std::optional<agent_identity> identity_;
    std::unique_ptr<requests::idempotency_records> records_;
    std::unique_ptr<record_holders> record_holders_;
    dissemination::system_state_snapshot state_;
    std::shared_ptr<const routing::routing_table> routes_;
    bool domain_is_in_ = true;
    admission::work_id next_work_id_ = 1;
    std::set<std::shared_ptr<server_request>> requests_;
    /// The requests that the admission control has queued or started.
    std::map<admission::work_id, std::shared_ptr<server_request>> offered_requests_;
    /// The request that holds this agent's claim of a key.
    std::map<requests::record_key, std::weak_ptr<server_request>> claim_holders_;
    /// The requests and the peers' lookups that wait for the end of a request with the same key.
    std::map<requests::record_key, std::vector<std::weak_ptr<server_request>>> waiting_requests_;
    std::map<requests::record_key, std::vector<std::shared_ptr<transport::rpc_responder>>> waiting_peers_;
    std::function<void()> on_drained_;
    bool shutting_down_ = false;
    /// The earliest time to close the connections; set while a stop waits for open requests and peers' lookups.
    std::optional<core::time_point> lookup_linger_until_;
    std::atomic<double> flows_per_second_{0};
    core::snapshot_publisher<admission::admission_status> status_;
    int ticks_ = 0;
};

} // namespace ibisdyke::frontends
