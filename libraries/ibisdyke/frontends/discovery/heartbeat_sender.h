#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/membership/messages.h"
#include "ibisdyke/observability/counter_sink.h"
#include "ibisdyke/transport/http2_client.h"
#include "ibisdyke/transport/rpc_client.h"
#include "ibisdyke/transport/traffic_meter.h"

#include <QObject>
#include <QTimer>

#include <cstddef>
#include <functional>
#include <vector>

namespace ibisdyke::frontends {

/// Sends the heartbeats of an agent or balancer to a control process and fails over to the next control process when
/// the current one does not answer. Lives on the control thread.
///
///     auto* sender = new heartbeat_sender(peer_endpoints(values, "control"), source_address, counters, &meter,
///         [&] { return make_heartbeat(); }, [&](const auto& answer) { on_heartbeat_answer(answer); }, &application);
///     sender->start();
class heartbeat_sender : public QObject {
public:
    /// Returns the heartbeat to send. The sender fills in the sequence number.
    using heartbeat_callback = std::function<membership::heartbeat()>;
    using answer_callback = std::function<void(const membership::heartbeat_answer&)>;

    static constexpr core::milliseconds period{500};
    /// After a failover, a heartbeat must arrive at another control process before the sender's lease expires. The
    /// lease expires up to one batch period (500 ms) earlier when a follower forwarded the last heartbeat. With a
    /// timeout of 1 s, an agent whose first two control processes hung did not reach the third one before its lease of
    /// 2 s expired, and lost its flows.
    static constexpr core::milliseconds answer_timeout{500};

    /// `controls` are the peer endpoints of the control processes. It must not be empty; the sender starts with a
    /// random entry. `source_address` is the local address to send from, 0 for any. `counters` and `meter` (which may
    /// be null) must outlive the sender. `on_answer` runs for each answer, whatever its result, in the order of
    /// arrival.
    heartbeat_sender(const std::vector<core::endpoint>& controls, std::uint32_t source_address,
        observability::counter_sink& counters, transport::traffic_meter* meter, heartbeat_callback create_heartbeat,
        answer_callback on_answer, QObject* parent);

    /// Sends the first heartbeat immediately and then one every 500 ms.
    void start();

    /// Sends a heartbeat immediately, to report a change before the next period, such as the start of a drain.
    void send_now();

    /// Replaces the control processes; an empty list is ignored. The current control process stays in use if the new
    /// list contains it.
    void set_controls(const std::vector<core::endpoint>& controls);

    /// Returns the peer endpoint of the control process in use.
    const core::endpoint& control() const { return clients_[current_client_]->peer(); }

private:
    void on_tick();
    void on_result(const core::endpoint& peer, const transport::rpc_result& result);
    void fail_over(const core::endpoint& failed);
    void fail_over_without_leader(const core::endpoint& failed);

    std::uint32_t source_address_;
    observability::counter_sink& counters_;
    transport::traffic_meter* meter_;
    heartbeat_callback create_heartbeat_;
    answer_callback on_answer_;
    std::vector<transport::http2_client*> clients_;
    std::size_t current_client_ = 0;
    /// Number of resends allowed until the next period. The bound prevents a busy loop when ports are closed.
    std::size_t resends_left_ = 0;
    /// Resends left in this period to processes that know no leader.
    std::size_t resends_without_leader_left_ = 0;
    /// Whether the control process in use has answered since the last failover.
    bool control_responds_ = false;
    /// Starts at the wall-clock time in ms, so that a restarted process sends higher numbers than the process before
    /// it. Grows by about 2 per second.
    std::uint64_t sequence_;
    QTimer timer_;
};

} // namespace ibisdyke::frontends
