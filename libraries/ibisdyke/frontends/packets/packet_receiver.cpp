#include "ibisdyke/frontends/packets/packet_receiver.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/frontends/packets/flow_log.h"
#include "ibisdyke/observability/log.h"
#include "ibisdyke/routing/decision_names.h"
#include "ibisdyke/routing/wire/codec.h"
#include "ibisdyke/transport/clock.h"

#include <QMetaObject>

#include <chrono>
#include <utility>

namespace ibisdyke::frontends {

namespace {

constexpr std::size_t batch_size = 64;

/// How often idle flows are expired and the view for heartbeats is updated.
constexpr std::chrono::milliseconds maintenance_interval{100};

/// Each balancer gets at most ten version notices per second, not counting answers to probes. The control thread gets
/// at most ten reports of newer versions per second.
constexpr std::chrono::milliseconds notice_interval{100};

/// After stop(), the thread reads at most this many batches of each socket. They hold more packets than the buffer of a
/// socket, so that a stop ends under load and handles what had arrived.
constexpr std::size_t max_batches_after_stop = 64;

/// Balancers that have sent nothing for this long get no notice when the agent stops.
constexpr std::chrono::seconds balancer_timeout{10};

/// Exceeds the number of balancers at the design size (1,400). Limits the memory if sender addresses are forged.
constexpr std::size_t max_balancers = 4096;

} // namespace

struct packet_receiver::packet_counters {
    explicit packet_counters(observability::counter_registry& from)
        : answers(from.find("agent_upstream_answers"))
        , returned(from.find("agent_upstream_disowned"))
        , delivered(from.find("agent_packets_delivered"))
        , placed(from.find("agent_flows_placed"))
        , adopted(from.find("agent_flows_adopted"))
        , forwarded(from.find("agent_packets_forwarded"))
        , not_ready(from.find("agent_dropped_not_ready"))
        , malformed(from.find("agent_dropped_malformed"))
        , send_failures(from.find("agent_send_failures"))
        , notices(from.find("agent_version_notices_sent"))
        , failing(from.find("agent_upstream_failing"))
        , probes(from.find("agent_probes_answered"))
        , stalls(from.find("agent_stalls"))
        , starts(from.find("agent_upstream_starts"))
        , passed_on_in_start(from.find("agent_flows_passed_on_in_start"))
        , recovery_probes(from.find("agent_recovery_probes"))
    {
        for (const auto it : routing::packet_reasons) {
            rejected.emplace(it, &from.find("agent_rejected_" + std::string(to_string(it))));
            dropped.emplace(it, &from.find("agent_dropped_" + std::string(to_string(it))));
        }
        for (const auto it : routing::overflow_steps)
            overflow.emplace(it, &from.find("agent_flows_overflow_" + std::string(to_string(it))));
    }

    std::map<routing::overflow_step, observability::counter*> overflow;
    std::map<routing::packet_reason, observability::counter*> rejected;
    std::map<routing::packet_reason, observability::counter*> dropped;
    observability::counter& answers;
    observability::counter& returned;
    observability::counter& delivered;
    observability::counter& placed;
    observability::counter& adopted;
    observability::counter& forwarded;
    observability::counter& not_ready;
    observability::counter& malformed;
    observability::counter& send_failures;
    observability::counter& notices;
    observability::counter& failing;
    observability::counter& probes;
    observability::counter& stalls;
    observability::counter& starts;
    observability::counter& passed_on_in_start;
    observability::counter& recovery_probes;
};

packet_receiver::packet_receiver(const packet_receiver_settings& settings, sockets receive_from, formats packet_formats,
    const core::snapshot_publisher<routing::agent_snapshot>& snapshots, observability::counter_registry& counters,
    QObject& control, newer_version_callback on_newer_version)
    : settings_(settings)
    , sockets_(std::move(receive_from))
    , formats_(std::move(packet_formats))
    , local_(sockets_.peers->local())
    , snapshot_publisher_(snapshots)
    , control_(control)
    , on_newer_version_(std::move(on_newer_version))
    , counters_(std::make_unique<packet_counters>(counters))
    , agent_(settings.limits, settings.extensions_per_second, settings.rejections)
    , batch_(batch_size)
{
    outgoing_.reserve(batch_size);
    if (sockets_.upstream)
        sockets_.peers->also_wait_for(*sockets_.upstream);
}

packet_receiver::~packet_receiver()
{
    stop();
}

void packet_receiver::start()
{
    thread_ = std::thread([this] { run(); });
}

void packet_receiver::stop()
{
    if (!thread_.joinable())
        return;
    stopping_.store(true);
    sockets_.peers->wake();
    thread_.join();
}

packet_receiver_view packet_receiver::view() const
{
    const std::scoped_lock lock(view_mutex_);
    return view_;
}

QJsonObject packet_receiver::report() const
{
    const auto it = view();
    return {
        {"endpoint", QString::fromStdString(to_string(local_))},
        {"open_flows", static_cast<qint64>(it.open_flows)},
        {"flow_watermark", QString::fromStdString(to_string(it.flow_watermark))},
        {"flows", static_cast<qint64>(it.flows)},
        {"packets", static_cast<qint64>(it.packets)},
        {"bytes", static_cast<qint64>(it.bytes)},
    };
}

void packet_receiver::run()
{
    while (!stopping_.load()) {
        sockets_.peers->wait(maintenance_interval);
        const auto now = transport::read_clock();
        record_progress(now, maintenance_interval);
        maintain(now);
        while (!stopping_.load() && read_peers()) { }
        while (!stopping_.load() && read_upstream()) { }
        backlog_.record_drained();
    }
    announce_stop(transport::read_clock());
    read_remaining();
}

/// Handles the packets that have arrived before or during the announcement of the stop.
void packet_receiver::read_remaining()
{
    for (std::size_t n = 0; n < max_batches_after_stop && read_peers(); ++n) { }
    for (std::size_t n = 0; n < max_batches_after_stop && read_upstream(); ++n) { }
}

void packet_receiver::record_progress(core::time_point now, core::milliseconds max_wait)
{
    const auto stalled = backlog_.record_progress(now, max_wait);
    if (!stalled)
        return;
    counters_->stalls.add(1);
    log_stall(name(), *stalled);
}

/// Handles a batch of datagrams from balancers and other agents. Returns false when none has arrived.
bool packet_receiver::read_peers()
{
    if (sockets_.peers->receive(batch_) == 0)
        return false;
    const core::time_point now = transport::read_clock();
    record_progress(now, core::milliseconds{0});
    snapshot_ = snapshot_publisher_.load();
    handle_batch(now);
    maintain(now);
    return true;
}

/// Handles a batch of datagrams from the upstream. Returns false when none has arrived.
bool packet_receiver::read_upstream()
{
    if (!sockets_.upstream || sockets_.upstream->receive(batch_) == 0)
        return false;
    const core::time_point now = transport::read_clock();
    record_progress(now, core::milliseconds{0});
    snapshot_ = snapshot_publisher_.load();
    outgoing_.clear();
    generated_.clear();
    for (std::size_t i = 0; i < batch_.size(); ++i)
        handle_upstream_datagram(i, now);
    send_all();
    maintain(now);
    return true;
}

void packet_receiver::handle_batch(core::time_point now)
{
    outgoing_.clear();
    generated_.clear();
    for (std::size_t i = 0; i < batch_.size(); ++i)
        handle_datagram(i, now);
    send_all();
}

void packet_receiver::send_all()
{
    const auto refused = sockets_.peers->send(outgoing_);
    if (refused > 0)
        counters_->send_failures.add(refused);
}

std::string_view packet_receiver::store(std::string bytes)
{
    generated_.push_back(std::make_unique<const std::string>(std::move(bytes)));
    return *generated_.back();
}

void packet_receiver::handle_upstream_datagram(std::size_t i, core::time_point now)
{
    const auto packet = batch_.bytes(i);
    switch (formats_.upstream->classify(packet)) {
    case upstream_packet::answer:
        counters_->answers.add(1);
        track_answer(packet, now);
        outgoing_.push_back({packet, formats_.callers->caller_endpoint(packet)});
        return;
    case upstream_packet::returned:
        return handle_returned(packet, now);
    case upstream_packet::malformed:
        return counters_->malformed.add(1);
    }
}

void packet_receiver::track_answer(std::string_view packet, core::time_point now)
{
    agent_.record_response(formats_.upstream->parse_answer(packet), now);
}

void packet_receiver::handle_returned(std::string_view packet, core::time_point now)
{
    counters_->returned.add(1);
    const auto tag = formats_.upstream->tag_of(packet);
    // The packet is forwarded to other agents without the tag, as its caller sent it.
    const auto original = store(formats_.upstream->with_tag(packet, 0));
    const auto parsed = formats_.callers->parse(original);
    if (!snapshot_ || parsed.status != parse_status::parsed)
        return counters_->not_ready.add(1);
    const auto* const delivered = delivered_.find(tag);
    const auto header = delivered != nullptr ? *delivered : routing::flow_agent::make_header(parsed.info, *snapshot_);
    if (!header)
        return counters_->not_ready.add(1);
    log_returned(parsed.info, *snapshot_);
    const auto decision = agent_.decide_returned(parsed.info, *header, *snapshot_, now);
    log_decision({parsed.info, *header, decision, *snapshot_, agent_.load(now), agent_.start_limit()});
    execute(decision, *header, original);
}

void packet_receiver::handle_datagram(std::size_t i, core::time_point now)
{
    try {
        const auto parts = routing::wire::split_datagram(batch_.bytes(i));
        if (parts.kind == routing::wire::datagram_kind::probe)
            return answer_probe(routing::wire::decode_packet_header(parts.message));
        if (parts.kind != routing::wire::datagram_kind::packet)
            return counters_->malformed.add(1);
        handle_packet(parts.message, parts.packet, now);
    } catch (const core::malformed_message& e) {
        counters_->malformed.add(1);
        observability::write_log(observability::log_level::warning, "packet_malformed", {{"error", e.what()}});
    }
}

void packet_receiver::handle_packet(std::string_view message, std::string_view packet, core::time_point now)
{
    if (!snapshot_)
        return counters_->not_ready.add(1);
    const auto parsed = formats_.callers->parse(packet);
    if (parsed.status != parse_status::parsed)
        return counters_->malformed.add(1);
    const auto header = routing::wire::decode_packet_header(message);
    compare_versions(header, update_sender(header.sender, now), now);
    const bool probe_due = agent_.is_probe_due(now);
    const bool start_limited = routing::may_start_flow(parsed.info.kind) && agent_.is_start_limited(now);
    const auto decision = decide(parsed.info, header, now);
    if (decision.action == routing::packet_action::place) {
        ++next_view_.flows;
        counters_->recovery_probes.add(probe_due ? 1 : 0);
    }
    if (start_limited && decision.next && decision.next->phase != routing::search_phase::find)
        counters_->passed_on_in_start.add(1);
    log_decision({parsed.info, header, decision, *snapshot_, agent_.load(now), agent_.start_limit()});
    execute(decision, header, packet);
}

routing::packet_decision packet_receiver::decide(
    const routing::packet_info& packet, const routing::packet_header& header, core::time_point now)
{
    if (backlog_.is_outdated(packet))
        return {routing::packet_action::drop, routing::packet_reason::outdated, std::nullopt};
    return agent_.decide(packet, header, *snapshot_, now);
}

void packet_receiver::execute(
    const routing::packet_decision& decision, const routing::packet_header& header, std::string_view packet)
{
    using routing::packet_action;
    if (decision.overflow != routing::overflow_step::none)
        counters_->overflow.at(decision.overflow)->add(1);
    switch (decision.action) {
    case packet_action::place:
        counters_->placed.add(1);
        break;
    case packet_action::adopt:
        counters_->adopted.add(1);
        break;
    case packet_action::deliver:
        break;
    case packet_action::forward: {
        const auto& next = *decision.next;
        auto bytes = routing::wire::encode_prefix(next);
        bytes.append(packet);
        outgoing_.push_back({store(std::move(bytes)), next.chain[next.position].packet_endpoint});
        counters_->forwarded.add(1);
        return;
    }
    case packet_action::reject:
        counters_->rejected.at(decision.reason)->add(1);
        return reject(packet);
    case packet_action::drop:
        return counters_->dropped.at(decision.reason)->add(1);
    }
    deliver(packet, header);
}

void packet_receiver::deliver(std::string_view packet, const routing::packet_header& header)
{
    counters_->delivered.add(1);
    ++next_view_.packets;
    next_view_.bytes += packet.size();
    if (formats_.upstream)
        packet = store(formats_.upstream->with_tag(packet, delivered_.add(header)));
    outgoing_.push_back({packet, settings_.upstream});
}

void packet_receiver::reject(std::string_view packet)
{
    auto answer = formats_.callers->make_reject(packet);
    if (!answer)
        return;
    const auto stored = store(*std::move(answer));
    outgoing_.push_back({stored, formats_.callers->caller_endpoint(stored)});
}

/// Queues a notice with the version of this agent. The notice also shows the balancer that the agent is reachable.
void packet_receiver::send_notice(const core::endpoint& to)
{
    outgoing_.push_back({store(routing::wire::encode_notice_datagram({snapshot_->applied, snapshot_->self})), to});
}

void packet_receiver::compare_versions(const routing::packet_header& header, balancer& sender, core::time_point now)
{
    if (header.table > snapshot_->applied && now - last_newer_version_report_ >= notice_interval) {
        last_newer_version_report_ = now;
        QMetaObject::invokeMethod(
            &control_,
            [callback = on_newer_version_, latest = header.table, from = header.sender] { callback(latest, from); },
            Qt::QueuedConnection);
    }
    if (header.table >= snapshot_->applied || now - sender.last_notice < notice_interval)
        return;
    sender.last_notice = now;
    send_notice(header.sender);
    counters_->notices.add(1);
}

packet_receiver::balancer& packet_receiver::update_sender(const core::endpoint& sender, core::time_point now)
{
    if (balancers_.size() >= max_balancers)
        balancers_.clear();
    auto& result = balancers_[sender];
    result.last_heard = now;
    return result;
}

/// Informs the balancers that this agent stops, so that they send new flows elsewhere at once. Otherwise they would do
/// so only after callers have retransmitted SYNs.
void packet_receiver::announce_stop(core::time_point now)
{
    if (!snapshot_)
        return;
    outgoing_.clear();
    generated_.clear();
    const auto notice =
        store(routing::wire::encode_notice_datagram({snapshot_->applied, snapshot_->self, /*stopping=*/true}));
    for (const auto& [endpoint, it] : balancers_) {
        if (now - it.last_heard < balancer_timeout)
            outgoing_.push_back({notice, endpoint});
    }
    send_all();
}

/// Does not answer while the agent has no table: the agent cannot accept flows then and must count as unreachable.
void packet_receiver::answer_probe(const routing::packet_header& probe)
{
    if (!snapshot_)
        return counters_->not_ready.add(1);
    counters_->probes.add(1);
    send_notice(probe.sender);
}

void packet_receiver::log_upstream_state(bool failing)
{
    if (std::exchange(logged_failing_, failing) == failing)
        return;
    if (failing)
        counters_->failing.add(1);
    observability::write_log(failing ? observability::log_level::warning : observability::log_level::info,
        failing ? "upstream_failing" : "upstream_tried_again", {{"upstream", snapshot_->self.value()}});
}

void packet_receiver::log_start_events()
{
    for (const auto& it : agent_.take_start_events()) {
        if (!it.outcome)
            counters_->starts.add(1);
        log_start_event(it, *snapshot_);
    }
}

void packet_receiver::maintain(core::time_point now)
{
    if (now - last_maintenance_ < maintenance_interval)
        return;
    last_maintenance_ = now;
    snapshot_ = snapshot_publisher_.load();
    if (!snapshot_)
        return;
    agent_.maintain(*snapshot_, now);
    log_upstream_state(agent_.is_failing(now));
    log_start_events();
    next_view_.open_flows = agent_.flows().open_flows();
    next_view_.active_flows = agent_.flows().active_flows();
    next_view_.flow_watermark = agent_.watermark(*snapshot_, now);
    const std::scoped_lock lock(view_mutex_);
    view_ = next_view_;
}

} // namespace ibisdyke::frontends
