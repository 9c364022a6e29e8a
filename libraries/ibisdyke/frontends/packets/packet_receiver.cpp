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

/// How often idle flows expire and the view for heartbeats is renewed.
constexpr std::chrono::milliseconds maintenance_interval{100};

/// At most ten version notices a second for each balancer.
constexpr std::chrono::milliseconds notice_interval{100};

/// Balancers that have sent nothing for this long are not told of a stop.
constexpr std::chrono::seconds sender_memory{10};

/// More than the balancers of the design size (1,400). Bounds the memory if senders are forged.
constexpr std::size_t max_balancers = 4096;

} // namespace

struct packet_receiver::packet_counters {
    explicit packet_counters(observability::counter_registry& from)
        : answers(from.find("agent_upstream_answers"))
        , disowned(from.find("agent_upstream_disowned"))
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
    {
        for (const auto it : routing::packet_reasons) {
            rejected.emplace(it, &from.find("agent_rejected_" + std::string(to_string(it))));
            dropped.emplace(it, &from.find("agent_dropped_" + std::string(to_string(it))));
        }
    }

    std::map<routing::packet_reason, observability::counter*> rejected;
    std::map<routing::packet_reason, observability::counter*> dropped;
    observability::counter& answers;
    observability::counter& disowned;
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
};

packet_receiver::packet_receiver(const packet_receiver_settings& settings, sockets from, formats packets,
    const core::snapshot_publisher<routing::agent_snapshot>& facts, observability::counter_registry& counters,
    QObject& control, newer_version_callback on_newer_version)
    : settings_(settings)
    , sockets_(std::move(from))
    , formats_(std::move(packets))
    , local_(sockets_.peers->local())
    , published_facts_(facts)
    , control_(control)
    , on_newer_version_(std::move(on_newer_version))
    , counters_(std::make_unique<packet_counters>(counters))
    , agent_(settings.limits, settings.extensions_per_second, settings.answers)
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
        maintain(transport::read_clock());
        read_peers();
        if (sockets_.upstream)
            read_upstream();
    }
    tell_of_stop(transport::read_clock());
}

void packet_receiver::read_peers()
{
    while (!stopping_.load() && sockets_.peers->receive(batch_) > 0) {
        const core::time_point now = transport::read_clock();
        facts_ = published_facts_.load();
        handle_batch(now);
        maintain(now);
    }
}

void packet_receiver::read_upstream()
{
    while (!stopping_.load() && sockets_.upstream->receive(batch_) > 0) {
        const core::time_point now = transport::read_clock();
        facts_ = published_facts_.load();
        outgoing_.clear();
        made_.clear();
        for (std::size_t i = 0; i < batch_.size(); ++i)
            handle_from_upstream(i, now);
        send_all();
        maintain(now);
    }
}

void packet_receiver::handle_batch(core::time_point now)
{
    outgoing_.clear();
    made_.clear();
    for (std::size_t i = 0; i < batch_.size(); ++i)
        handle(i, now);
    send_all();
}

void packet_receiver::send_all()
{
    const auto refused = sockets_.peers->send(outgoing_);
    if (refused > 0)
        counters_->send_failures.add(refused);
}

std::string_view packet_receiver::keep(std::string bytes)
{
    made_.push_back(std::make_unique<const std::string>(std::move(bytes)));
    return *made_.back();
}

void packet_receiver::handle_from_upstream(std::size_t i, core::time_point now)
{
    const auto packet = batch_.bytes(i);
    switch (formats_.upstream->classify(packet)) {
    case upstream_packet::answer:
        counters_->answers.add(1);
        note_answer(packet, now);
        outgoing_.push_back({packet, formats_.callers->caller_endpoint(packet)});
        return;
    case upstream_packet::disowned:
        return handle_disowned(packet, now);
    case upstream_packet::malformed:
        return counters_->malformed.add(1);
    }
}

void packet_receiver::note_answer(std::string_view packet, core::time_point now)
{
    agent_.note_answer(formats_.upstream->parse_answer(packet), now);
}

void packet_receiver::handle_disowned(std::string_view packet, core::time_point now)
{
    counters_->disowned.add(1);
    const auto tag = formats_.upstream->tag_of(packet);
    // Other agents get the packet as its caller sent it.
    const auto original = keep(formats_.upstream->with_tag(packet, 0));
    const auto parsed = formats_.callers->parse(original);
    if (!facts_ || parsed.status != parse_status::parsed)
        return counters_->not_ready.add(1);
    const auto* const known = delivered_.find(tag);
    const auto header = known != nullptr ? *known : routing::flow_agent::make_header(parsed.facts, *facts_);
    if (!header)
        return counters_->not_ready.add(1);
    log_disowned(parsed.facts, *facts_);
    const auto decision = agent_.decide_returned(parsed.facts, *header, *facts_, now);
    log_decision({parsed.facts, *header, decision, *facts_, agent_.load(now)});
    carry_out(decision, *header, original);
}

void packet_receiver::handle(std::size_t i, core::time_point now)
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
    if (!facts_)
        return counters_->not_ready.add(1);
    const auto parsed = formats_.callers->parse(packet);
    if (parsed.status != parse_status::parsed)
        return counters_->malformed.add(1);
    const auto header = routing::wire::decode_packet_header(message);
    compare_versions(header, note_sender(header.sender, now), now);
    const auto decision = agent_.decide(parsed.facts, header, *facts_, now);
    if (decision.action == routing::packet_action::place)
        ++usage_.flows;
    log_decision({parsed.facts, header, decision, *facts_, agent_.load(now)});
    carry_out(decision, header, packet);
}

void packet_receiver::carry_out(
    const routing::packet_decision& decision, const routing::packet_header& header, std::string_view packet)
{
    using routing::packet_action;
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
        outgoing_.push_back({keep(std::move(bytes)), next.chain[next.position].packet_endpoint});
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
    ++usage_.packets;
    usage_.bytes += packet.size();
    if (formats_.upstream)
        packet = keep(formats_.upstream->with_tag(packet, delivered_.add(header)));
    outgoing_.push_back({packet, settings_.upstream});
}

void packet_receiver::reject(std::string_view packet)
{
    auto answer = formats_.callers->make_reject(packet);
    if (!answer)
        return;
    const auto kept = keep(*std::move(answer));
    outgoing_.push_back({kept, formats_.callers->caller_endpoint(kept)});
}

/// Tells a balancer which version this agent has, and that it can be reached.
void packet_receiver::send_notice(const core::endpoint& to)
{
    outgoing_.push_back({keep(routing::wire::encode_notice_datagram({facts_->applied, facts_->self})), to});
}

void packet_receiver::compare_versions(const routing::packet_header& header, balancer& sender, core::time_point now)
{
    if (header.table > facts_->applied && now - last_newer_ >= notice_interval) {
        last_newer_ = now;
        QMetaObject::invokeMethod(
            &control_,
            [callback = on_newer_version_, latest = header.table, from = header.sender] { callback(latest, from); },
            Qt::QueuedConnection);
    }
    if (header.table >= facts_->applied || now - sender.last_notice < notice_interval)
        return;
    sender.last_notice = now;
    send_notice(header.sender);
    counters_->notices.add(1);
}

packet_receiver::balancer& packet_receiver::note_sender(const core::endpoint& sender, core::time_point now)
{
    if (balancers_.size() >= max_balancers)
        balancers_.clear();
    auto& result = balancers_[sender];
    result.last_heard = now;
    return result;
}

/// Lets the balancers send new flows elsewhere from now on, not only when callers have sent SYNs again.
void packet_receiver::tell_of_stop(core::time_point now)
{
    if (!facts_)
        return;
    outgoing_.clear();
    made_.clear();
    const auto notice = keep(routing::wire::encode_notice_datagram({facts_->applied, facts_->self, /*stopping=*/true}));
    for (const auto& [endpoint, it] : balancers_) {
        if (now - it.last_heard < sender_memory)
            outgoing_.push_back({notice, endpoint});
    }
    send_all();
}

/// An agent without a table could not take a flow, so it counts as unreachable.
void packet_receiver::answer_probe(const routing::packet_header& probe)
{
    if (!facts_)
        return counters_->not_ready.add(1);
    counters_->probes.add(1);
    send_notice(probe.sender);
}

void packet_receiver::note_failing(bool failing)
{
    if (std::exchange(failing_, failing) == failing)
        return;
    if (failing)
        counters_->failing.add(1);
    observability::write_log(failing ? observability::log_level::warning : observability::log_level::info,
        failing ? "upstream_failing" : "upstream_tried_again", {{"upstream", facts_->self.value()}});
}

void packet_receiver::maintain(core::time_point now)
{
    if (now - last_maintenance_ < maintenance_interval)
        return;
    last_maintenance_ = now;
    facts_ = published_facts_.load();
    if (!facts_)
        return;
    agent_.maintain(*facts_, now);
    note_failing(agent_.is_failing(now));
    usage_.open_flows = agent_.flows().open_flows();
    usage_.active_flows = agent_.flows().active_flows();
    usage_.flow_watermark = agent_.watermark(*facts_, now);
    const std::scoped_lock lock(view_mutex_);
    view_ = usage_;
}

} // namespace ibisdyke::frontends
