#include "ibisdyke/frontends/packets/packet_forwarder.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/frontends/packets/flow_log.h"
#include "ibisdyke/observability/log.h"
#include "ibisdyke/routing/wire/codec.h"
#include "ibisdyke/transport/clock.h"

#include <QMetaObject>

#include <chrono>
#include <utility>

namespace ibisdyke::frontends {

namespace {

constexpr std::size_t batch_size = 64;

/// How often the thread wakes up without packets, so that it releases an old table and notices when it has stood still.
constexpr core::milliseconds idle_wait{200};

/// After stop(), the thread reads at most this many batches. They hold more packets than the buffer of a socket, so
/// that a stop ends under load and forwards what had arrived.
constexpr std::size_t max_batches_after_stop = 64;

/// Limits the rejects of packets without a route. A flood with forged source addresses could otherwise use the balancer
/// as a reflector.
constexpr double rejects_per_second = 1'000;

/// Many agents report the same new version at the same time; one call is enough to refresh.
constexpr std::chrono::milliseconds notice_interval{100};

/// Under overload every SYN is retransmitted. A few chains per second are enough to find unreachable agents.
constexpr std::chrono::milliseconds retransmitted_syn_interval{20};

} // namespace

packet_forwarder::packet_forwarder(std::string name, std::unique_ptr<transport::datagram_socket> socket,
    std::optional<core::endpoint> notices, std::shared_ptr<const packet_format> format,
    std::unique_ptr<routing::router> router, const core::snapshot_publisher<forwarding_snapshot>& tables,
    observability::counter_registry& counters, QObject& control, callbacks handlers)
    : name_(std::move(name))
    , socket_(std::move(socket))
    , local_(socket_->local())
    , notices_endpoint_(notices)
    , format_(std::move(format))
    , router_(std::move(router))
    , tables_(tables)
    , control_(control)
    , callbacks_(std::move(handlers))
    , forwarded_packets_(counters.find("forwarder_packets"))
    , forwarded_bytes_(counters.find("forwarder_bytes"))
    , without_table_(counters.find("forwarder_dropped_without_table"))
    , without_upstream_(counters.find("forwarder_dropped_without_upstream"))
    , rejected_(counters.find("forwarder_rejected_without_route"))
    , malformed_(counters.find("forwarder_dropped_malformed"))
    , fragments_(counters.find("forwarder_dropped_fragments"))
    , unsupported_(counters.find("forwarder_dropped_unsupported"))
    , send_failures_(counters.find("forwarder_send_failures"))
    , notices_(counters.find("forwarder_version_notices"))
    , outdated_(counters.find("forwarder_dropped_outdated"))
    , stalls_(counters.find("forwarder_stalls"))
    , batch_(batch_size)
    , reject_limiter_(rejects_per_second, rejects_per_second)
{
    outgoing_.reserve(batch_size);
}

packet_forwarder::~packet_forwarder()
{
    stop();
}

void packet_forwarder::start()
{
    thread_ = std::thread([this] { run(); });
}

void packet_forwarder::stop()
{
    if (!thread_.joinable())
        return;
    stopping_.store(true);
    socket_->wake();
    thread_.join();
}

QJsonObject packet_forwarder::report() const
{
    const auto snapshot = tables_.load();
    QJsonObject result{{"endpoint", QString::fromStdString(to_string(local_))}};
    if (!snapshot)
        return result;
    const auto& chains = *snapshot->table->chains;
    result.insert("table", QString::fromStdString(to_string(chains.at())));
    result.insert("services", static_cast<qint64>(chains.services().size()));
    result.insert("table_bytes", static_cast<qint64>(chains.size_bytes() + snapshot->headers->size_bytes()));
    return result;
}

void packet_forwarder::run()
{
    while (!stopping_.load()) {
        socket_->wait(idle_wait);
        record_progress(transport::read_clock(), idle_wait);
        use_latest_table();
        while (!stopping_.load() && socket_->receive(batch_) > 0)
            handle_batch(transport::read_clock());
        backlog_.record_drained();
    }
    for (std::size_t n = 0; n < max_batches_after_stop && socket_->receive(batch_) > 0; ++n)
        handle_batch(transport::read_clock());
}

void packet_forwarder::record_progress(core::time_point now, core::milliseconds max_wait)
{
    const auto stalled = backlog_.record_progress(now, max_wait);
    if (!stalled)
        return;
    stalls_.add(1);
    log_stall(name_, *stalled);
}

void packet_forwarder::use_latest_table()
{
    auto latest = tables_.load();
    if (latest == table_)
        return;
    router_->set_table(latest->table);
    table_ = std::move(latest);
    encoded_origin_ = routing::wire::encode_origin(table_->table->chains->at(), notices_endpoint_.value_or(local_));
}

void packet_forwarder::handle_batch(core::time_point now)
{
    record_progress(now, core::milliseconds{0});
    use_latest_table();
    outgoing_.clear();
    generated_.clear();
    packets_.clear();
    routes_.clear();
    // Each step runs over the whole batch. The route lookups wait for memory; run back to back, their cache
    // misses overlap.
    for (std::size_t i = 0; i < batch_.size(); ++i)
        read_datagram(i, now);
    for (const auto& [i, info] : packets_)
        routes_.push_back(router_->select(info, now));
    for (std::size_t n = 0; n < packets_.size(); ++n) {
        const auto& [i, info] = packets_[n];
        if (!routes_[n]) {
            handle_unrouted(i, info, now);
            continue;
        }
        if (info.kind == routing::packet_kind::syn && info.syn_retransmissions > 0)
            report_retransmitted_syn(*routes_[n], now);
        queue_packet(i, *routes_[n]);
    }
    std::uint64_t bytes = 0;
    for (const auto& it : outgoing_)
        bytes += it.bytes.size();
    const auto refused = socket_->send(outgoing_);
    forwarded_packets_.add(outgoing_.size() - refused);
    forwarded_bytes_.add(bytes);
    if (refused > 0)
        send_failures_.add(refused);
}

/// Rejects a SYN to an address without a route and any packet whose route was withdrawn. Drops other packets, because
/// they may belong to a route that this balancer has not received yet.
void packet_forwarder::handle_unrouted(std::size_t i, const routing::packet_info& info, core::time_point now)
{
    without_upstream_.add(1);
    const auto state = table_->table->chains->destinations().state_of(info.flow);
    const bool rejected = info.kind == routing::packet_kind::syn || state == routing::address_state::withdrawn;
    log_unrouted(info, state, rejected, table_->table->chains->at());
    if (!rejected || !reject_limiter_.take(now))
        return;
    auto answer = format_->make_reject(batch_.bytes(i));
    if (!answer)
        return;
    rejected_.add(1);
    generated_.push_back(std::make_unique<const std::string>(*std::move(answer)));
    outgoing_.push_back({*generated_.back(), format_->caller_endpoint(*generated_.back())});
}

void packet_forwarder::read_datagram(std::size_t i, core::time_point now)
{
    if (notices_endpoint_)
        return read_packet(i, batch_.bytes(i));
    try {
        const auto parts = routing::wire::split_datagram(batch_.bytes(i));
        switch (parts.kind) {
        case routing::wire::datagram_kind::plain_packet:
            return read_packet(i, parts.packet);
        case routing::wire::datagram_kind::notice:
            return handle_notice(parts.message, batch_.source(i), now);
        case routing::wire::datagram_kind::packet:
        case routing::wire::datagram_kind::probe:
            // Packets with headers and probes are sent to agents only.
            malformed_.add(1);
            return;
        }
    } catch (const core::malformed_message& e) {
        malformed_.add(1);
        observability::write_log(observability::log_level::warning, "packet_malformed", {{"error", e.what()}});
    }
}

void packet_forwarder::read_packet(std::size_t i, std::string_view packet)
{
    if (!table_)
        return without_table_.add(1);
    const auto parsed = format_->parse(packet);
    switch (parsed.status) {
    case parse_status::parsed:
        if (backlog_.is_outdated(parsed.info)) {
            log_outdated(parsed.info, table_->table->chains->at());
            return outdated_.add(1);
        }
        packets_.emplace_back(i, parsed.info);
        return;
    case parse_status::malformed:
        return malformed_.add(1);
    case parse_status::fragment:
        return fragments_.add(1);
    case parse_status::unsupported:
        return unsupported_.add(1);
    }
}

void packet_forwarder::queue_packet(std::size_t i, const routing::route& route)
{
    std::string encoded;
    std::string_view chain;
    if (route.chain_index) {
        chain = table_->headers->find(route.service, *route.chain_index);
    } else {
        const auto& service = table_->table->chains->services()[route.service]->service();
        encoded = routing::wire::encode_chain(service.id, *route.members);
        chain = encoded;
    }
    const std::string phase =
        route.phase == routing::search_phase::find ? std::string() : routing::wire::encode_phase(route.phase);
    const std::string asked = route.asked == 0 ? std::string() : routing::wire::encode_asked(route.asked);
    const auto length =
        routing::wire::encode_length(encoded_origin_.size() + chain.size() + phase.size() + asked.size());
    outgoing_.push_back({batch_.prepend(i, 0, {length, encoded_origin_, chain, phase, asked}), route.destination});
}

/// A caller retransmits its SYN when it has received no answer, so the agents of its chain may be unreachable.
void packet_forwarder::report_retransmitted_syn(const routing::route& route, core::time_point now)
{
    if (!callbacks_.on_retransmitted_syn || now - last_retransmitted_syn_report_ < retransmitted_syn_interval)
        return;
    last_retransmitted_syn_report_ = now;
    const auto& members = route.members->members;
    std::vector<routing::chain_member> candidates(
        members.begin(), members.begin() + static_cast<std::ptrdiff_t>(route.members->candidates));
    QMetaObject::invokeMethod(
        &control_, [callback = callbacks_.on_retransmitted_syn, it = std::move(candidates)] { callback(it); },
        Qt::QueuedConnection);
}

void packet_forwarder::handle_notice(std::string_view message, const core::endpoint& agent, core::time_point now)
{
    const auto notice = routing::wire::decode_version_notice(message);
    notices_.add(1);
    if (table_ && notice.latest <= table_->table->chains->at())
        return;
    if (now - last_notice_report_ < notice_interval)
        return;
    last_notice_report_ = now;
    QMetaObject::invokeMethod(
        &control_, [callback = callbacks_.on_newer_version, notice, agent] { callback(notice.latest, agent); },
        Qt::QueuedConnection);
}

} // namespace ibisdyke::frontends
