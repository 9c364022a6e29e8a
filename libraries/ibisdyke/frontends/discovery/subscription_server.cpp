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

constexpr core::milliseconds keep_alive_period{1000};

/// How often the feed is checked for having lost its leader, which subscribers are told at once.
constexpr core::milliseconds tick_period{100};

/// The age that says that nothing vouches for the feed.
constexpr core::milliseconds unknown_age{3'600'000};

/// A feed whose age is above this is not current; see dissemination::subscription_limits::max_age.
constexpr core::milliseconds max_age{2000};

/// A subscriber that leaves this much unread is dropped and may come back for one merged delta.
constexpr std::size_t max_unsent_bytes = std::size_t{8} * 1024 * 1024;

} // namespace

subscription_server::subscription_server(transport::rpc_router& router, observability::counter_sink& counters,
    leader_contact_callback vouch, std::size_t max_subscribers, QObject* parent)
    : QObject(parent)
    , counters_(counters)
    , vouch_(std::move(vouch))
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
    if (change)
        send_to_all(dissemination::wire::encode(dissemination::subscription_message(*change)));
    else if (is_first && history_.latest())
        send_to_all(dissemination::wire::encode(dissemination::subscription_message(history_.latest())));
}

void subscription_server::on_subscribe(
    const std::string& body, const std::shared_ptr<transport::rpc_publisher>& publisher)
{
    drop_closed();
    try {
        accept(dissemination::wire::decode_subscribe_request(body), publisher);
    } catch (const core::malformed_message& e) {
        observability::note_malformed(counters_, "subscribe_requests_malformed", e);
        publisher->close();
    }
}

void subscription_server::accept(
    const dissemination::subscribe_request& request, const std::shared_ptr<transport::rpc_publisher>& publisher)
{
    std::vector<dissemination::subscriber> present;
    present.reserve(subscribers_.size());
    for (const auto& [id, it] : subscribers_)
        present.push_back(it.info);
    const auto decision = dissemination::assign(request, present, max_subscribers_);
    if (decision.redirect_to) {
        for (auto& [id, it] : subscribers_) {
            if (it.info.relay == decision.redirect_to)
                dissemination::count_redirect(request, it.info);
        }
        redirect(*publisher, *decision.redirect_to);
        return;
    }
    if (decision.displaced && request.relay) {
        const auto displaced = subscribers_.find(*decision.displaced);
        redirect(*displaced->second.publisher, *request.relay);
        subscribers_.erase(displaced);
    }
    counters_.add("subscriptions_accepted", 1);
    const auto id = next_id_++;
    subscribers_.emplace(id, subscription{{id, request.relay, 0, 0}, request.name, publisher});
    send_first(request, *publisher);
}

void subscription_server::send_first(
    const dissemination::subscribe_request& request, transport::rpc_publisher& publisher)
{
    const auto& latest = history_.latest();
    if (latest && request.applied < latest->applied) {
        // A subscriber without any state has nothing that a delta could be applied to, even one from the first version.
        const bool has_state = request.applied != core::version{};
        if (const auto change = has_state ? history_.since(request.applied) : std::nullopt) {
            counters_.add("subscriptions_served_delta", 1);
            send(publisher, dissemination::wire::encode(dissemination::subscription_message(*change)));
        } else {
            if (encoded_version_ != latest->applied) {
                encoded_snapshot_ = dissemination::wire::encode(dissemination::subscription_message(latest));
                encoded_version_ = latest->applied;
            }
            counters_.add("subscriptions_served_snapshot", 1);
            send(publisher, encoded_snapshot_);
        }
    }
    send(publisher, dissemination::wire::encode(dissemination::subscription_message(make_keep_alive())));
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

void subscription_server::send_to_all(const std::string& message)
{
    drop_closed();
    for (const auto& [id, it] : subscribers_)
        send(*it.publisher, message);
}

void subscription_server::drop_closed()
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
    result.age = vouch_().value_or(unknown_age);
    return result;
}

bool subscription_server::has_leader_contact() const
{
    return vouch_().value_or(unknown_age) < max_age;
}

void subscription_server::send_keep_alives()
{
    keep_alive_sent_ = transport::read_clock();
    leader_contact_ = has_leader_contact();
    send_to_all(dissemination::wire::encode(dissemination::subscription_message(make_keep_alive())));
}

void subscription_server::on_tick()
{
    if (has_leader_contact() != leader_contact_ || transport::read_clock() - keep_alive_sent_ >= keep_alive_period)
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
