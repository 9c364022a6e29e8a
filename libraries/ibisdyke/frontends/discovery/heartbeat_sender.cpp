#include "ibisdyke/frontends/discovery/heartbeat_sender.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/membership/wire/codec.h"
#include "ibisdyke/observability/log.h"
#include "ibisdyke/observability/malformed_message.h"
#include "ibisdyke/transport/clock.h"

#include <QPointer>
#include <QRandomGenerator>

#include <algorithm>
#include <utility>

namespace ibisdyke::frontends {

namespace {

/// Heartbeats sent again in one period because a control process knew no leader. With four of nine control processes
/// cut off, a sender reaches one of the others within three periods, before its lease ends.
constexpr std::size_t max_resends_without_leader = 1;

} // namespace

heartbeat_sender::heartbeat_sender(const std::vector<core::endpoint>& controls, std::uint32_t source_address,
    observability::counter_sink& counters, transport::traffic_meter* meter, heartbeat_callback create_heartbeat,
    answer_callback on_answer, QObject* parent)
    : QObject(parent)
    , source_address_(source_address)
    , counters_(counters)
    , meter_(meter)
    , create_heartbeat_(std::move(create_heartbeat))
    , on_answer_(std::move(on_answer))
    , sequence_(static_cast<std::uint64_t>(
          std::chrono::floor<core::milliseconds>(transport::read_wall_clock().time_since_epoch()).count()))
{
    if (controls.empty())
        throw core::invalid_input("control", "", "at least one endpoint of a control process");
    set_controls(controls);
    current_client_ = QRandomGenerator::global()->bounded(static_cast<quint32>(controls.size()));
    timer_.setTimerType(Qt::PreciseTimer);
    connect(&timer_, &QTimer::timeout, this, &heartbeat_sender::on_tick);
}

void heartbeat_sender::set_controls(const std::vector<core::endpoint>& controls)
{
    if (controls.empty())
        return;
    const auto endpoint_in_use = clients_.empty() ? core::endpoint{} : control();
    std::vector<transport::http2_client*> clients;
    for (const auto& it : controls) {
        const auto existing =
            std::find_if(clients_.begin(), clients_.end(), [&it](const auto* client) { return client->peer() == it; });
        if (existing == clients_.end()) {
            clients.push_back(
                new transport::http2_client(it, source_address_, transport::http2_limits{}, meter_, this)); // NOLINT
            continue;
        }
        clients.push_back(*existing);
        clients_.erase(existing);
    }
    for (auto* const it : clients_)
        it->deleteLater();
    clients_ = std::move(clients);
    const auto in_use_client = std::find_if(clients_.begin(), clients_.end(),
        [&endpoint_in_use](const auto* client) { return client->peer() == endpoint_in_use; });
    current_client_ = in_use_client == clients_.end() ? 0 : static_cast<std::size_t>(in_use_client - clients_.begin());
}

void heartbeat_sender::start()
{
    timer_.start(period);
    on_tick();
}

void heartbeat_sender::on_tick()
{
    resends_left_ = clients_.size() - 1;
    resends_without_leader_left_ = max_resends_without_leader;
    send_now();
}

void heartbeat_sender::send_now()
{
    auto message = create_heartbeat_();
    message.sequence = ++sequence_;
    counters_.add("heartbeats_sent", 1);
    transport::rpc_client rpc(*clients_[current_client_]);
    rpc.call("/membership/heartbeat", membership::wire::encode(message), answer_timeout,
        [self = QPointer<heartbeat_sender>(this), to = control()](const auto& result) {
            if (self)
                self->on_result(to, result);
        });
}

void heartbeat_sender::on_result(const core::endpoint& peer, const transport::rpc_result& result)
{
    if (result.status != transport::rpc_status::ok) {
        counters_.add("heartbeats_unanswered", 1);
        fail_over(peer);
        return;
    }
    try {
        const auto answer = membership::wire::decode_heartbeat_answer(result.body);
        if (!std::exchange(control_responds_, true))
            observability::write_log(observability::log_level::info, "control_found", {{"control", to_string(peer)}});
        if (answer.result == membership::heartbeat_result::no_leader)
            fail_over_without_leader(peer);
        on_answer_(answer);
    } catch (const core::malformed_message& e) {
        observability::note_malformed(counters_, "heartbeat_answers_malformed", e);
        fail_over(peer);
    }
}

/// Without a leader, the other control processes usually know none either, and they need their processor time for the
/// election. Only a few are asked in each period, because the one in use may be cut off from a leader.
void heartbeat_sender::fail_over_without_leader(const core::endpoint& failed)
{
    if (resends_without_leader_left_ == 0)
        resends_left_ = 0;
    else
        --resends_without_leader_left_;
    fail_over(failed);
}

void heartbeat_sender::fail_over(const core::endpoint& failed)
{
    // Several calls to the same process can fail together; only the first failure switches to the next process.
    if (failed != control() || clients_.size() == 1)
        return;
    if (std::exchange(control_responds_, false))
        observability::write_log(observability::log_level::warning, "control_lost", {{"control", to_string(failed)}});
    current_client_ = (current_client_ + 1) % clients_.size();
    if (resends_left_ == 0)
        return;
    --resends_left_;
    send_now();
}

} // namespace ibisdyke::frontends
