#pragma once

#include "ibisdyke/admission/share_admission.h"
#include "ibisdyke/frontends/requests/request_gateway.h"
#include "ibisdyke/frontends/requests/request_server.h"
#include "ibisdyke/observability/counter_registry.h"
#include "ibisdyke/testing/event_loop.h"

#include <QCoreApplication>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ibisdyke::testing {

/// A request that has arrived at a fake upstream.
class upstream_call final : public transport::http2_stream_listener {
public:
    void on_headers(const transport::header_list&, transport::end_of_stream) override { }
    void on_data(std::string_view bytes, transport::end_of_stream end) override;
    void on_drained() override;
    void on_closed(transport::close_reason reason) override;

    std::string header(std::string_view name) const;

    /// Sends a complete answer with status 200.
    void answer(const std::string& body);

    /// Sends an answer of `n` bytes in parts. Each part is sent when the socket has accepted the previous one.
    void answer_in_parts(std::size_t n);

    transport::header_list headers_;
    std::string body_;
    bool ended_ = false;
    std::optional<transport::close_reason> closed_;
    std::shared_ptr<transport::http2_stream> stream_;
    std::function<void(upstream_call&)> on_request_end_;
    /// Bytes that answer_in_parts() has still to send.
    std::size_t remaining_bytes_ = 0;
};

/// Returns the configuration record of a caller's token.
configuration::token create_token(const std::string& text, const std::string& owner);

/// An upstream whose handling of requests is set by the test.
class fake_upstream final : public transport::http2_stream_acceptor {
public:
    explicit fake_upstream(QObject* parent);

    std::shared_ptr<transport::http2_stream_listener> accept(const std::shared_ptr<transport::http2_stream>& stream,
        const transport::header_list& headers, transport::end_of_stream end) override;

    /// Returns the number of open requests.
    std::size_t running() const;

    /// Closes all connections at once, as if the process had died.
    void kill();

    QObject* parent_;
    transport::http2_server* server_;
    /// Called when a request's headers have arrived. Returns false to refuse the request. May be empty.
    std::function<bool(upstream_call&)> on_accept_;
    /// Called when a request has arrived completely. Answers "ok" unless replaced.
    std::function<void(upstream_call&)> on_request_ = [](upstream_call& it) { it.answer("ok"); };
    std::vector<std::shared_ptr<upstream_call>> calls_;
    /// The highest number of requests that were open at the same time.
    std::size_t peak_running_ = 0;
    /// Whether new requests are added to calls_. Without it, running() and peak_running_ count nothing.
    bool keep_calls_ = true;
};

/// The part of an answer that a caller has received.
class caller_answer final : public transport::http2_stream_listener {
public:
    void on_headers(const transport::header_list& headers, transport::end_of_stream end) override;
    void on_data(std::string_view bytes, transport::end_of_stream end) override;
    void on_closed(transport::close_reason reason) override;

    std::string status() const { return header(":status"); }
    std::string verdict() const { return header("ibisdyke-verdict"); }
    std::string header(std::string_view name) const;

    /// Returns whether the whole answer has arrived and the stream is closed.
    bool complete() const { return ended_ && closed_.has_value(); }

    transport::header_list headers_;
    std::string body_;
    std::size_t body_bytes_ = 0;
    bool keep_body_ = true;
    bool ended_ = false;
    /// The caller stops reading after this many bytes. Nothing means no limit.
    std::optional<std::size_t> read_limit_;
    std::optional<transport::close_reason> closed_;
    std::function<void()> on_closed_;
    std::shared_ptr<transport::http2_stream> stream_;
};

struct caller_options {
    std::string method = "GET";
    std::string service = "dossier-store";
    std::string token = "token-a";
    std::string path = "/dossier";
    std::string body{};
    transport::header_list headers{};
    std::optional<std::size_t> read_limit{};
    /// With `no`, the request stays open, so that more of its body can be sent.
    transport::end_of_stream end = transport::end_of_stream::yes;
};

/// An agent together with its fake upstream.
class test_agent {
public:
    test_agent(std::uint64_t id, std::uint32_t slots,
        const core::snapshot_publisher<dissemination::system_state>& state,
        const core::snapshot_publisher<routing::routing_table>& routes, QObject* parent);

    /// Destroys the agent's server without a graceful stop, as if the process had died.
    void kill();

    /// Publishes an identity by which this agent's process replaced an earlier one an hour ago, so that every member
    /// already knows the agent.
    void make_established();

    /// Replaces the agent's server by a new one with another incarnation at the same address.
    void restart();

    membership::upstream record() const;

    std::uint64_t id_;
    std::uint32_t slots_;
    QObject* parent_;
    const core::snapshot_publisher<dissemination::system_state>& state_;
    const core::snapshot_publisher<routing::routing_table>& routes_;
    observability::counter_registry counters_;
    fake_upstream upstream_;
    core::snapshot_publisher<frontends::agent_identity> identity_;
    std::unique_ptr<frontends::usage_meter> usage_;
    frontends::server_settings settings_;
    std::unique_ptr<frontends::request_server> server_;
    membership::upstream_state recorded_state_ = membership::upstream_state::active;
    core::failure_domain domain_{"zone-a"};
    /// The address that balancers and peers get instead of the agent's own.
    std::optional<core::endpoint> advertised_endpoint_;
};

/// Runs balancers, agents and upstreams on loopback in one event loop.
class request_cluster {
public:
    explicit request_cluster(std::size_t agents, std::uint32_t slots = 4);
    ~request_cluster();
    request_cluster(const request_cluster&) = delete;
    request_cluster& operator=(const request_cluster&) = delete;
    request_cluster(request_cluster&&) = delete;
    request_cluster& operator=(request_cluster&&) = delete;

    /// Publishes the current records of the agents as the next version of the system state.
    void publish();

    /// Adds a balancer and returns it.
    frontends::request_gateway& add_gateway(const frontends::gateway_settings& settings);

    /// Destroys a balancer without a graceful stop.
    void kill_gateway(std::size_t gateway) { gateways_.at(gateway).reset(); }

    std::shared_ptr<caller_answer> send(const caller_options& options, std::size_t gateway = 0);

    /// Returns the number of requests that have reached the upstreams.
    std::size_t total_calls() const;

    /// Returns an idempotency key that is owned by the agent. Different values of `skipped` return different keys.
    std::string key_owned_by(std::size_t agent, std::size_t skipped = 0) const;

    template <typename Condition>
    static bool wait_for(Condition condition, int limit_ms = 8000)
    {
        return testing::wait_for(condition, std::chrono::milliseconds(limit_ms));
    }

    static void run_for(int ms);

    std::uint64_t counter(const std::string& name) { return counters_.find(name).value(); }

    int argc_ = 0;
    QCoreApplication application_{argc_, nullptr};
    observability::counter_registry counters_;
    core::snapshot_publisher<dissemination::system_state> state_;
    core::snapshot_publisher<routing::routing_table> routes_;
    configuration::profile profile_;
    std::map<core::failure_domain, configuration::domain> domains_;
    std::uint64_t version_ = 0;
    std::vector<std::unique_ptr<test_agent>> agents_;
    std::vector<std::unique_ptr<frontends::request_gateway>> gateways_;
    std::vector<std::unique_ptr<transport::http2_client>> callers_;
};

/// Returns the current time plus `offset` as a value for `ibisdyke-first-sent` (milliseconds since the Unix epoch).
std::string wall_clock_text(core::milliseconds offset);

} // namespace ibisdyke::testing
