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

/// Sends the heartbeats of an agent or balancer to one control process, and to the next one when that does not answer.
/// Lives on the control thread.
///
///     auto* sender = new heartbeat_sender(settings.endpoints("control"), source_address, counters, &meter,
///         [&] { return current_heartbeat(); }, [&](const auto& answer) { take(answer); }, &application);
///     sender->start();
class heartbeat_sender : public QObject {
public:
    /// Returns the heartbeat to send. The sender fills in the sequence number.
    using fill_callback = std::function<membership::heartbeat()>;
    using answer_callback = std::function<void(const membership::heartbeat_answer&)>;

    static constexpr core::milliseconds period{500};
    /// A sender must be heard by another control process before the lease ends that its last heartbeat renewed. That is
    /// up to a batch period (500 ms) earlier when a follower passed it on. With a limit of 1 s, an agent whose first
    /// two control processes hung found the third one after its lease of 2 s had ended, and lost its flows.
    static constexpr core::milliseconds answer_timeout{500};

    /// `controls` are the peer endpoints of the control processes, at least one; the sender begins with a random one.
    /// `source_address` is the local address to send from, 0 for any. `counters` and `meter` (which may be null) must
    /// outlive the sender. `on_answer` runs for each answer of any result, in the order of arrival.
    heartbeat_sender(const std::vector<core::endpoint>& controls, std::uint32_t source_address,
        observability::counter_sink& counters, transport::traffic_meter* meter, fill_callback fill,
        answer_callback on_answer, QObject* parent);

    /// Sends the first heartbeat at once and then one every 500 ms.
    void start();

    /// Sends a heartbeat now, for a change that cannot wait, such as the beginning of a drain.
    void send_now();

    /// Replaces the control processes, at least one. The one in use stays in use when it is among them.
    void set_controls(const std::vector<core::endpoint>& controls);

    /// The control process in use.
    const core::endpoint& control() const { return clients_[current_]->peer(); }

private:
    void on_tick();
    void on_result(const core::endpoint& control, const transport::rpc_result& result);
    void move_on(const core::endpoint& failed);

    std::uint32_t source_address_;
    observability::counter_sink& counters_;
    transport::traffic_meter* meter_;
    fill_callback fill_;
    answer_callback on_answer_;
    std::vector<transport::http2_client*> clients_;
    std::size_t current_ = 0;
    /// Resends that are left until the next period, so that closed ports do not cause a busy loop.
    std::size_t resends_left_ = 0;
    /// Whether the control process in use answered last.
    bool answered_ = false;
    /// Begins with the wall-clock time in ms, so that a restarted process has higher numbers than the one before. Grows
    /// by some 2 a second.
    std::uint64_t sequence_;
    QTimer timer_;
};

} // namespace ibisdyke::frontends
