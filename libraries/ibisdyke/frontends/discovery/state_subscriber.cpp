#include "ibisdyke/frontends/discovery/state_subscriber.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/dissemination/wire/codec.h"
#include "ibisdyke/observability/log.h"
#include "ibisdyke/observability/malformed_message.h"
#include "ibisdyke/transport/clock.h"

#include <QPointer>
#include <QRandomGenerator>

#include <algorithm>
#include <utility>

namespace ibisdyke::frontends {

namespace {

/// How often the subscription is checked.
constexpr core::milliseconds check_period{20};

/// A subscription whose source is cut off or behind is kept for at least this long, so that a subscriber without a
/// current source tries one source per second.
constexpr core::milliseconds min_subscription_time{1000};

/// Delay before the next attempt after a source that failed immediately, for example because its port was closed.
constexpr core::milliseconds retry_pause{50};

/// Each relay adds this to the age of the state, in addition to the time that has passed. The age therefore grows in a
/// cycle of relays, however fast they forward keep-alives.
constexpr core::milliseconds relay_hop_age{1};

const char* to_text(dissemination::subscription_state it)
{
    switch (it) {
    case dissemination::subscription_state::opening:
        return "opening";
    case dissemination::subscription_state::current:
        return "current";
    case dissemination::subscription_state::cut_off:
        return "cut off";
    case dissemination::subscription_state::silent:
        return "silent";
    case dissemination::subscription_state::empty:
        return "empty";
    case dissemination::subscription_state::behind:
        break;
    }
    return "behind";
}

} // namespace

/// A subscription to one source. Each subscription has its own connection, so that closing the subscription also closes
/// a connection that hangs.
struct state_subscriber::subscription {
    subscription(const core::endpoint& peer, std::uint32_t source_address, transport::traffic_meter* meter,
        const dissemination::subscription_limits& limits, core::time_point now, QObject* parent)
        : client(new transport::http2_client( // NOLINT
            peer, source_address, transport::http2_limits{}, meter, parent))
        , monitor(limits, now)
    {
    }

    transport::http2_client* client;
    dissemination::subscription_monitor monitor;
    std::shared_ptr<transport::rpc_subscription> stream;
};

state_subscriber::state_subscriber(subscriber_settings settings, observability::counter_sink& counters,
    transport::traffic_meter* meter, QObject* parent)
    : QObject(parent)
    , settings_(std::move(settings))
    , counters_(counters)
    , meter_(meter)
    , sources_(settings_.controls, settings_.peers, settings_.relay,
          static_cast<std::size_t>(QRandomGenerator::global()->bounded(1 << 16)))
{
    timer_.setTimerType(Qt::PreciseTimer);
    connect(&timer_, &QTimer::timeout, this, &state_subscriber::check_subscription);
}

state_subscriber::~state_subscriber()
{
    close_subscription();
}

void state_subscriber::start()
{
    timer_.start(check_period);
    subscribe_to_next_source();
}

void state_subscriber::subscribe_to_next_source()
{
    resubscribe_scheduled_ = false;
    close_subscription();
    if (const auto source = sources_.next(transport::read_clock()))
        subscribe(*source);
    else
        schedule_resubscribe();
}

void state_subscriber::subscribe(const core::endpoint& source)
{
    counters_.add("subscriptions_opened", 1);
    const auto now = transport::read_clock();
    subscribed_at_ = now;
    auto limits = dissemination::limits_after_failures(settings_.limits, consecutive_failures_, state_ != nullptr);
    limits.delivery_timeout = random_delivery_limit();
    subscription_ = std::make_shared<subscription>(source, settings_.source_address, meter_, limits, now, this);
    const dissemination::subscribe_request request{
        applied_version(), settings_.name, settings_.relay, sources_.avoided(now), /*reads_compressed_deltas=*/true};
    const std::weak_ptr<subscription> opened = subscription_;
    const QPointer<state_subscriber> self(this);
    subscription_->stream = transport::rpc_subscription::create(
        *subscription_->client, "/dissemination/subscribe", dissemination::wire::encode(request),
        [self, opened](const std::string& bytes) {
            if (self && self->subscription_ && self->subscription_ == opened.lock())
                self->on_message(bytes);
        },
        [self, opened] {
            if (!self || !self->subscription_ || self->subscription_ != opened.lock())
                return;
            self->record_failure();
            self->schedule_resubscribe();
        });
}

/// Returns a random time between the delivery limit and its double. All subscribers see a new version at the same time,
/// and they must not all leave a slow source at the same time.
core::milliseconds state_subscriber::random_delivery_limit() const
{
    const auto subscribers = state_ ? state_->membership.upstreams.size() + state_->membership.relays.size() : 0;
    const auto limit = dissemination::delivery_limit(settings_.limits, subscribers);
    return limit + core::milliseconds(QRandomGenerator::global()->bounded(static_cast<int>(limit.count()) + 1));
}

void state_subscriber::close_subscription()
{
    const auto closed = std::exchange(subscription_, nullptr);
    if (!closed)
        return;
    closed->stream->cancel();
    closed->client->deleteLater();
}

void state_subscriber::schedule_resubscribe()
{
    // Deferred because the caller may be a callback of the subscription, which resubscribing destroys.
    if (std::exchange(resubscribe_scheduled_, true))
        return;
    const bool failed_at_once = transport::read_clock() - subscribed_at_ < retry_pause;
    QTimer::singleShot(
        failed_at_once ? retry_pause : core::milliseconds{0}, this, &state_subscriber::subscribe_to_next_source);
}

void state_subscriber::on_message(const std::string& bytes)
{
    if (resubscribe_scheduled_)
        return;
    try {
        const auto message = dissemination::wire::decode_subscription_message(bytes);
        std::visit([this](const auto& it) { handle_message(it); }, message);
    } catch (const core::malformed_message& e) {
        observability::note_malformed(counters_, "feed_messages_malformed", e);
        record_failure();
        schedule_resubscribe();
    }
}

void state_subscriber::record_failure()
{
    ++consecutive_failures_;
    sources_.on_failure(subscription_->client->peer(), transport::read_clock());
}

void state_subscriber::handle_message(const dissemination::system_state_snapshot& it)
{
    subscription_->monitor.on_version(it->applied, transport::read_clock());
    counters_.add("snapshots_received", 1);
    if (it->applied > applied_version())
        apply_state(it);
    else
        counters_.add("feed_messages_old", 1);
}

void state_subscriber::handle_message(const dissemination::delta& it)
{
    subscription_->monitor.on_version(it.to, transport::read_clock());
    counters_.add("deltas_received", 1);
    if (it.to <= applied_version()) {
        counters_.add("feed_messages_old", 1);
        return;
    }
    if (state_) {
        if (const auto next = dissemination::apply(*state_, it)) {
            apply_state(next);
            return;
        }
    }
    // There is no state yet, or the delta starts at a version other than the applied one. A new subscription to the
    // same source begins with a matching delta or a snapshot.
    counters_.add("delta_gaps", 1);
    sources_.on_redirect(subscription_->client->peer());
    schedule_resubscribe();
}

void state_subscriber::handle_message(const dissemination::keep_alive& it)
{
    const auto now = transport::read_clock();
    subscription_->monitor.on_keep_alive(it, now);
    if (it.latest > applied_version())
        subscription_->monitor.on_version_seen(it.latest, now);
    if (it.age >= settings_.limits.max_age)
        return;
    consecutive_failures_ = 0;
    sources_.on_success(subscription_->client->peer());
    const core::time_point contact = now - it.age;
    if (leader_contact_ && contact <= *leader_contact_)
        return;
    leader_contact_ = contact;
    // Only a more recent leader contact is passed on. Otherwise relays in a cycle would forward the same keep-alive
    // endlessly.
    if (keep_alive_callback_)
        keep_alive_callback_();
}

void state_subscriber::handle_message(const dissemination::redirect& it)
{
    counters_.add("redirects_followed", 1);
    sources_.on_redirect(it.target);
    schedule_resubscribe();
}

void state_subscriber::apply_state(const dissemination::system_state_snapshot& next)
{
    state_ = next;
    const auto known_age = age();
    observability::write_log(observability::log_level::info, "state_applied",
        {{"version", to_string(next->applied)}, {"plan", next->configuration.plan.revision},
            {"source", to_string(subscription_->client->peer())},
            {"vouched_ms_ago", known_age ? known_age->count() : std::int64_t{-1}}});
    std::vector<core::endpoint> relays;
    relays.reserve(next->membership.relays.size());
    for (const auto& [name, endpoint] : next->membership.relays)
        relays.push_back(endpoint);
    sources_.set_relays(std::move(relays));
    if (state_callback_)
        state_callback_(next);
}

void state_subscriber::refresh(const core::version& seen)
{
    if (seen > applied_version() && subscription_)
        subscription_->monitor.on_version_seen(seen, transport::read_clock());
}

void state_subscriber::check_subscription()
{
    if (!subscription_ || resubscribe_scheduled_)
        return;
    const auto now = transport::read_clock();
    if (subscription_->client->is_connected())
        subscription_->monitor.on_connected();
    const auto condition = subscription_->monitor.state(applied_version(), now);
    if (condition == dissemination::subscription_state::opening
        || condition == dissemination::subscription_state::current)
        return;
    const bool delivers =
        condition != dissemination::subscription_state::silent && condition != dissemination::subscription_state::empty;
    if (delivers && now - subscribed_at_ < min_subscription_time)
        return;
    counters_.add("feeds_left", 1);
    const auto known_age = age();
    observability::write_log(observability::log_level::warning, "feed_left",
        {{"source", to_string(subscription_->client->peer())}, {"reason", to_text(condition)},
            {"applied", to_string(applied_version())},
            {"vouched_ms_ago", known_age ? known_age->count() : std::int64_t{-1}}});
    record_failure();
    subscribe_to_next_source();
}

std::optional<core::milliseconds> state_subscriber::age() const
{
    if (!leader_contact_)
        return std::nullopt;
    return std::chrono::ceil<core::milliseconds>(transport::read_clock() - *leader_contact_) + relay_hop_age;
}

std::optional<core::endpoint> state_subscriber::source() const
{
    if (!subscription_)
        return std::nullopt;
    return subscription_->client->peer();
}

QJsonObject state_subscriber::report() const
{
    const auto from = source();
    const auto known = age();
    const auto* const condition =
        subscription_ ? to_text(subscription_->monitor.state(applied_version(), transport::read_clock())) : "none";
    return {{"applied", QString::fromStdString(to_string(applied_version()))},
        {"source", QString::fromStdString(from ? to_string(*from) : "none")}, {"feed", condition},
        {"age_ms", known ? QJsonValue(static_cast<qint64>(known->count())) : QJsonValue()}};
}

void add_state_gauges(observability::counter_registry& counters, const state_subscriber& subscriber)
{
    counters.add_gauge("state_age_ms", [&subscriber] {
        const auto age = subscriber.age();
        return age ? static_cast<double>(age->count()) : -1;
    });
    counters.add_gauge("state_index",
        [&subscriber] { return subscriber.state() ? static_cast<double>(subscriber.state()->applied.index) : 0; });
    counters.add_gauge("plan_revision", [&subscriber] {
        return subscriber.state() ? static_cast<double>(subscriber.state()->configuration.plan.revision) : 0;
    });
}

} // namespace ibisdyke::frontends
