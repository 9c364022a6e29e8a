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

/// How often the feed is judged.
constexpr core::milliseconds check_period{20};

/// A feed that is cut off or behind is kept for this long after it was opened, so that a subscriber without any current
/// source walks through them once a second.
constexpr core::milliseconds min_feed_time{1000};

/// The pause after a source that failed at once, for example with a closed port.
constexpr core::milliseconds retry_pause{50};

/// What each relay adds to the age of a feed besides the time that has passed, so that the age grows in a circle of
/// relays however fast they are.
constexpr core::milliseconds hop{1};

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

/// One subscription with its own connection, so that giving it up also gives up a connection that hangs.
struct state_subscriber::feed {
    feed(const core::endpoint& peer, std::uint32_t source_address, transport::traffic_meter* meter,
        const dissemination::subscription_limits& limits, core::time_point now, QObject* parent)
        : client(new transport::http2_client( // NOLINT
            peer, source_address, transport::http2_limits{}, meter, parent))
        , monitor(limits, now)
    {
    }

    transport::http2_client* client;
    dissemination::subscription_monitor monitor;
    std::shared_ptr<transport::rpc_subscription> subscription;
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
    connect(&timer_, &QTimer::timeout, this, &state_subscriber::check);
}

state_subscriber::~state_subscriber()
{
    close_feed();
}

void state_subscriber::start()
{
    timer_.start(check_period);
    open_next();
}

void state_subscriber::open_next()
{
    move_scheduled_ = false;
    close_feed();
    if (const auto source = sources_.next(transport::read_clock()))
        open(*source);
    else
        schedule_move();
}

void state_subscriber::open(const core::endpoint& source)
{
    counters_.add("subscriptions_opened", 1);
    const auto now = transport::read_clock();
    opened_ = now;
    auto limits = settings_.limits;
    limits.first_message = dissemination::first_message_limit(limits, failures_);
    feed_ = std::make_shared<feed>(source, settings_.source_address, meter_, limits, now, this);
    const dissemination::subscribe_request request{applied(), settings_.name, settings_.relay, sources_.avoided(now)};
    const std::weak_ptr<feed> opened = feed_;
    const QPointer<state_subscriber> self(this);
    feed_->subscription = transport::rpc_subscription::create(
        *feed_->client, "/dissemination/subscribe", dissemination::wire::encode(request),
        [self, opened](const std::string& bytes) {
            if (self && self->feed_ && self->feed_ == opened.lock())
                self->on_message(bytes);
        },
        [self, opened] {
            if (!self || !self->feed_ || self->feed_ != opened.lock())
                return;
            self->note_failure();
            self->schedule_move();
        });
}

void state_subscriber::close_feed()
{
    const auto closed = std::exchange(feed_, nullptr);
    if (!closed)
        return;
    closed->subscription->cancel();
    closed->client->deleteLater();
}

void state_subscriber::schedule_move()
{
    // Not from within a callback of the subscription, which the move destroys.
    if (std::exchange(move_scheduled_, true))
        return;
    const bool failed_at_once = transport::read_clock() - opened_ < retry_pause;
    QTimer::singleShot(failed_at_once ? retry_pause : core::milliseconds{0}, this, &state_subscriber::open_next);
}

void state_subscriber::on_message(const std::string& bytes)
{
    if (move_scheduled_)
        return;
    try {
        const auto message = dissemination::wire::decode_subscription_message(bytes);
        std::visit([this](const auto& it) { on_content(it); }, message);
    } catch (const core::malformed_message& e) {
        observability::note_malformed(counters_, "feed_messages_malformed", e);
        note_failure();
        schedule_move();
    }
}

void state_subscriber::note_failure()
{
    ++failures_;
    sources_.on_failure(feed_->client->peer(), transport::read_clock());
}

void state_subscriber::on_content(const dissemination::system_state_snapshot& it)
{
    feed_->monitor.on_version(it->applied, transport::read_clock());
    counters_.add("snapshots_received", 1);
    if (it->applied > applied())
        take(it);
    else
        counters_.add("feed_messages_old", 1);
}

void state_subscriber::on_content(const dissemination::delta& it)
{
    feed_->monitor.on_version(it.to, transport::read_clock());
    counters_.add("deltas_received", 1);
    if (it.to <= applied()) {
        counters_.add("feed_messages_old", 1);
        return;
    }
    if (state_) {
        if (const auto next = dissemination::apply(*state_, it)) {
            take(next);
            return;
        }
    }
    // The delta begins elsewhere. Asking the same source again gets one that fits, or a snapshot.
    counters_.add("delta_gaps", 1);
    sources_.on_redirect(feed_->client->peer());
    schedule_move();
}

void state_subscriber::on_content(const dissemination::keep_alive& it)
{
    const auto now = transport::read_clock();
    feed_->monitor.on_keep_alive(it, now);
    if (it.latest > applied())
        feed_->monitor.on_hint(it.latest, now);
    if (it.age >= settings_.limits.max_age)
        return;
    failures_ = 0;
    sources_.on_success(feed_->client->peer());
    const core::time_point vouched = now - it.age;
    if (leader_contact_ && vouched <= *leader_contact_)
        return;
    leader_contact_ = vouched;
    // Only news is passed on, or relays in a circle would send the same keep-alive round without end.
    if (keep_alive_callback_)
        keep_alive_callback_();
}

void state_subscriber::on_content(const dissemination::redirect& it)
{
    counters_.add("redirects_followed", 1);
    sources_.on_redirect(it.target);
    schedule_move();
}

void state_subscriber::take(const dissemination::system_state_snapshot& next)
{
    state_ = next;
    const auto known_age = age();
    observability::write_log(observability::log_level::info, "state_applied",
        {{"version", to_string(next->applied)}, {"plan", next->configuration.plan.revision},
            {"source", to_string(feed_->client->peer())},
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
    if (seen > applied() && feed_)
        feed_->monitor.on_hint(seen, transport::read_clock());
}

void state_subscriber::check()
{
    if (!feed_ || move_scheduled_)
        return;
    const auto now = transport::read_clock();
    const auto judged = feed_->monitor.state(applied(), now);
    if (judged == dissemination::subscription_state::opening || judged == dissemination::subscription_state::current)
        return;
    const bool delivers =
        judged != dissemination::subscription_state::silent && judged != dissemination::subscription_state::empty;
    if (delivers && now - opened_ < min_feed_time)
        return;
    counters_.add("feeds_left", 1);
    const auto known_age = age();
    observability::write_log(observability::log_level::warning, "feed_left",
        {{"source", to_string(feed_->client->peer())}, {"reason", to_text(judged)}, {"applied", to_string(applied())},
            {"vouched_ms_ago", known_age ? known_age->count() : std::int64_t{-1}}});
    note_failure();
    open_next();
}

std::optional<core::milliseconds> state_subscriber::age() const
{
    if (!leader_contact_)
        return std::nullopt;
    return std::chrono::ceil<core::milliseconds>(transport::read_clock() - *leader_contact_) + hop;
}

std::optional<core::endpoint> state_subscriber::source() const
{
    if (!feed_)
        return std::nullopt;
    return feed_->client->peer();
}

QJsonObject state_subscriber::report() const
{
    const auto from = source();
    const auto known = age();
    const auto* const judged = feed_ ? to_text(feed_->monitor.state(applied(), transport::read_clock())) : "none";
    return {{"applied", QString::fromStdString(to_string(applied()))},
        {"source", QString::fromStdString(from ? to_string(*from) : "none")}, {"feed", judged},
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
