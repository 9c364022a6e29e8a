#include "ibisdyke/frontends/discovery/subscription_server.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/dissemination/wire/codec.h"
#include "ibisdyke/observability/malformed_message.h"
#include "ibisdyke/transport/clock.h"

#include <QJsonArray>

#include <utility>
#include <vector>

namespace ibisdyke::frontends {

namespace {

using dissemination::wire::delta_compression;

delta_compression compression_for(const dissemination::subscribe_request& request)
{
    return request.reads_compressed_deltas ? delta_compression::large_deltas : delta_compression::none;
}

constexpr core::milliseconds keep_alive_period{1000};

/// How often the leader contact is checked. When it is lost or regained, subscribers get a keep-alive immediately.
constexpr core::milliseconds tick_period{100};

/// The age that keep-alives contain while no leader contact is known.
constexpr core::milliseconds unknown_age{3'600'000};

/// A state with a leader contact of at least this age is not current; see dissemination::subscription_limits::max_age.
constexpr core::milliseconds max_age{2000};

/// Limits the memory of the encoded deltas that are kept for further subscribers.
constexpr std::size_t max_encoded_deltas = 16;

/// A subscriber with more unread bytes than this is dropped. It can subscribe again and gets one merged delta.
constexpr std::size_t max_unsent_bytes = std::size_t{8} * 1024 * 1024;

} // namespace

subscription_server::subscription_server(transport::rpc_router& router, observability::counter_sink& counters,
    leader_contact_age_callback leader_contact_age, std::size_t max_subscribers, QObject* parent)
    : QObject(parent)
    , counters_(counters)
    , leader_contact_age_(std::move(leader_contact_age))
    , max_subscribers_(max_subscribers)
{
    router.add_subscription("/dissemination/subscribe",
        [this](const std::string& body, const auto& publisher) { on_subscribe(body, publisher); });
    timer_.setTimerType(Qt::PreciseTimer);
    connect(&timer_, &QTimer::timeout, this, &subscription_server::on_tick);
    timer_.start(tick_period);
}

void subscription_server::publish(const dissemination::system_state_snapshot& state)
{
    const bool is_first = history_.latest() == nullptr;
    const auto change = history_.push(state);
    encoded_deltas_.clear();
    if (change)
        broadcast(*change);
    else if (is_first && history_.latest())
        broadcast(history_.latest());
}

void subscription_server::on_subscribe(
    const std::string& body, const std::shared_ptr<transport::rpc_publisher>& publisher)
{
    remove_closed_subscribers();
    try {
        handle_request(dissemination::wire::decode_subscribe_request(body), publisher);
    } catch (const core::malformed_message& e) {
        observability::note_malformed(counters_, "subscribe_requests_malformed", e);
        publisher->close();
    }
}

void subscription_server::handle_request(
    const dissemination::subscribe_request& request, const std::shared_ptr<transport::rpc_publisher>& publisher)
{
    std::vector<dissemination::subscriber> current_subscribers;
    current_subscribers.reserve(subscribers_.size());
    for (const auto& [id, it] : subscribers_)
        current_subscribers.push_back(it.info);
    const auto decision = dissemination::assign(request, current_subscribers, max_subscribers_);
    if (decision.redirect_to) {
        for (auto& [id, it] : subscribers_) {
            if (it.info.relay == decision.redirect_to)
                dissemination::count_redirect(request, it.info);
        }
        redirect(*publisher, *decision.redirect_to);
        return;
    }
    if (decision.displaced_subscriber && request.relay) {
        const auto displaced = subscribers_.find(*decision.displaced_subscriber);
        redirect(*displaced->second.publisher, *request.relay);
        subscribers_.erase(displaced);
    }
    counters_.add("subscriptions_accepted", 1);
    const auto id = next_id_++;
    subscribers_.emplace(
        id, subscription{{id, request.relay, 0, 0}, request.name, compression_for(request), publisher});
    send_initial_state(request, *publisher);
}

void subscription_server::send_initial_state(
    const dissemination::subscribe_request& request, transport::rpc_publisher& publisher)
{
    const auto& latest = history_.latest();
    if (latest && request.applied < latest->applied) {
        // A subscriber without a state cannot apply any delta, not even one that starts at the first version.
        const bool has_state = request.applied != core::version{};
        const auto* const change = has_state ? find_encoded_delta(request.applied, compression_for(request)) : nullptr;
        if (change != nullptr) {
            counters_.add("subscriptions_served_delta", 1);
            send(publisher, *change);
        } else {
            if (encoded_snapshot_version_ != latest->applied) {
                encoded_snapshot_ = dissemination::wire::encode(dissemination::subscription_message(latest));
                encoded_snapshot_version_ = latest->applied;
            }
            counters_.add("subscriptions_served_snapshot", 1);
            send(publisher, encoded_snapshot_);
        }
    }
    send(publisher, dissemination::wire::encode(dissemination::subscription_message(make_keep_alive())));
}

/// Returns the encoded delta from `from` to the latest state, or null if no kept delta begins there. When many
/// subscribers come at the same time, most of them have the same version, and the delta is merged and encoded only
/// once.
const std::string* subscription_server::find_encoded_delta(const core::version& from, delta_compression compression)
{
    const auto known = encoded_deltas_.find({from, compression});
    if (known != encoded_deltas_.end())
        return &known->second;
    const auto change = history_.since(from);
    if (!change)
        return nullptr;
    if (encoded_deltas_.size() >= max_encoded_deltas)
        encoded_deltas_.clear();
    const auto [it, is_new] =
        encoded_deltas_.insert_or_assign({from, compression}, dissemination::wire::encode(*change, compression));
    counters_.add("subscription_deltas_encoded", 1);
    return &it->second;
}

void subscription_server::redirect(transport::rpc_publisher& publisher, const core::endpoint& target)
{
    counters_.add("subscribers_redirected", 1);
    send(publisher, dissemination::wire::encode(dissemination::subscription_message(dissemination::redirect{target})));
    publisher.close();
}

void subscription_server::send(transport::rpc_publisher& publisher, const std::string& message)
{
    counters_.add("feed_bytes_sent", message.size());
    publisher.publish(message);
}

void subscription_server::broadcast(const dissemination::subscription_message& message)
{
    remove_closed_subscribers();
    // Encoded once for all subscribers that read the same form.
    std::map<delta_compression, std::string> encoded;
    for (const auto& [id, it] : subscribers_) {
        auto& bytes = encoded[it.compression];
        if (bytes.empty())
            bytes = dissemination::wire::encode(message, it.compression);
        send(*it.publisher, bytes);
    }
}

void subscription_server::remove_closed_subscribers()
{
    for (auto it = subscribers_.begin(); it != subscribers_.end();) {
        auto& publisher = *it->second.publisher;
        if (publisher.is_open() && publisher.unsent_bytes() <= max_unsent_bytes) {
            ++it;
            continue;
        }
        if (publisher.is_open())
            counters_.add("subscribers_dropped_slow", 1);
        publisher.close();
        it = subscribers_.erase(it);
    }
}

dissemination::keep_alive subscription_server::make_keep_alive() const
{
    dissemination::keep_alive result;
    if (history_.latest())
        result.latest = history_.latest()->applied;
    result.age = leader_contact_age_().value_or(unknown_age);
    return result;
}

bool subscription_server::has_leader_contact() const
{
    return leader_contact_age_().value_or(unknown_age) < max_age;
}

void subscription_server::send_keep_alives()
{
    keep_alive_sent_at_ = transport::read_clock();
    had_leader_contact_ = has_leader_contact();
    broadcast(make_keep_alive());
}

void subscription_server::on_tick()
{
    if (has_leader_contact() != had_leader_contact_
        || transport::read_clock() - keep_alive_sent_at_ >= keep_alive_period)
        send_keep_alives();
}

QJsonObject subscription_server::report() const
{
    QJsonArray names;
    for (const auto& [id, it] : subscribers_)
        names.append(QString::fromStdString(it.name));
    const auto& latest = history_.latest();
    return {{"latest", QString::fromStdString(latest ? to_string(latest->applied) : "none")},
        {"deltas_kept", static_cast<qint64>(history_.size())}, {"subscribers", names}};
}

} // namespace ibisdyke::frontends
