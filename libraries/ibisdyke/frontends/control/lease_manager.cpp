#include "ibisdyke/frontends/control/lease_manager.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/membership/wire/codec.h"
#include "ibisdyke/observability/log.h"
#include "ibisdyke/observability/malformed_message.h"
#include "ibisdyke/transport/clock.h"
#include "ibisdyke/transport/rpc_client.h"

#include <QJsonArray>
#include <QPointer>
#include <QRandomGenerator>

#include <utility>

namespace ibisdyke::frontends {

namespace {

constexpr core::milliseconds tick_period{100};

constexpr const char* batch_path = "/membership/lease-batch";
constexpr core::milliseconds batch_timeout{1000};

/// Less than the sender's timeout of 500 ms, so that the sender learns that its control process is alive.
constexpr core::milliseconds max_wait{400};

/// Writes a line for each upstream whose record the leader has changed.
void log_change(const membership::membership_change& change, const core::version& at)
{
    for (const auto& it : change.joins)
        observability::write_log(observability::log_level::info, "upstream_recorded",
            {{"name", it.name}, {"state", "joined"}, {"service", it.service.value()}, {"domain", it.domain.value()},
                {"packets", to_string(it.packet_endpoint)}, {"version", to_string(at)}});
    for (const auto& it : change.updates)
        observability::write_log(observability::log_level::info, "upstream_recorded",
            {{"upstream", it.id.value()}, {"state", membership::to_string(it.state)},
                {"packets", to_string(it.packet_endpoint)}, {"watermark", to_string(it.flow_watermark)},
                {"version", to_string(at)}});
}

} // namespace

lease_manager::lease_manager(transport::rpc_router& router, control_group& group, observability::counter_sink& counters,
    std::uint32_t source_address, transport::traffic_meter* meter, usage_decoder decode_usage,
    const membership::lease_limits& limits, QObject* parent)
    : QObject(parent)
    , group_(group)
    , counters_(counters)
    , source_address_(source_address)
    , meter_(meter)
    , decode_usage_(std::move(decode_usage))
    , limits_(limits)
    , senders_(core::incarnation(QRandomGenerator::system()->generate64()), membership::sender_limits{},
          transport::read_clock())
{
    router.add_call(
        "/membership/heartbeat", [this](const std::string& body, const responder& to) { on_heartbeat(body, to); });
    router.add_call("/membership/forwarded-heartbeat",
        [this](const std::string& body, const responder& to) { on_forwarded_heartbeat(body, to); });
    router.add_call(batch_path, [this](const std::string& body, const responder& to) { on_batch(body, to); });
    group_.on_state_change([self = QPointer<lease_manager>(this)](const auto& state) {
        if (self)
            self->take_state(state);
    });
    take_state(group_.state());
    timer_.setTimerType(Qt::PreciseTimer);
    connect(&timer_, &QTimer::timeout, this, &lease_manager::on_tick);
    timer_.start(tick_period);
}

void lease_manager::on_heartbeat(const std::string& body, const responder& to)
{
    follow_leadership(transport::read_clock());
    if (table_) {
        answer_as_leader(body, to);
        return;
    }
    if (group_.leader())
        answer_as_follower(body, to);
    else
        answer_no_leader(to);
}

void lease_manager::on_forwarded_heartbeat(const std::string& body, const responder& to)
{
    follow_leadership(transport::read_clock());
    // From a follower of an earlier version, which passes each heartbeat on by itself. Not forwarded again: two
    // followers with old views of each other would pass it back and forth.
    if (table_)
        answer_as_leader(body, to);
    else
        answer_no_leader(to);
}

void lease_manager::answer_as_leader(const std::string& body, const responder& to)
{
    try {
        const auto message = membership::wire::decode_heartbeat(body);
        counters_.add("heartbeats_received", 1);
        const auto answer = table_->on_heartbeat(message, transport::read_clock());
        note_usage(message.usage);
        to->respond(membership::wire::encode(answer));
    } catch (const core::malformed_message& e) {
        observability::note_malformed(counters_, "heartbeats_malformed", e);
        to->refuse();
    }
}

void lease_manager::answer_no_leader(const responder& to) const
{
    membership::heartbeat_answer answer;
    answer.result = membership::heartbeat_result::no_leader;
    answer.latest = group_.state()->applied;
    to->respond(membership::wire::encode(answer));
}

void lease_manager::answer_as_follower(const std::string& body, const responder& to)
{
    try {
        const auto now = transport::read_clock();
        const auto message = membership::wire::decode_heartbeat(body);
        counters_.add("heartbeats_received", 1);
        if (const auto answer = senders_.on_heartbeat(message, now))
            to->respond(membership::wire::encode(*answer));
        else
            waiting_.push_back({message.sender, now, to});
    } catch (const core::malformed_message& e) {
        observability::note_malformed(counters_, "heartbeats_malformed", e);
        to->refuse();
    }
}

void lease_manager::on_batch(const std::string& body, const responder& to)
{
    const auto now = transport::read_clock();
    follow_leadership(now);
    membership::lease_batch_answer answer;
    answer.result = membership::batch_result::no_leader;
    try {
        const auto batch = membership::wire::decode_lease_batch(body);
        counters_.add("lease_batches_received", 1);
        if (table_)
            answer = followers_->on_batch(batch, *table_, now);
        if (answer.result == membership::batch_result::taken) {
            for (const auto& it : batch.joined)
                note_batch_usage(it.usage);
            for (const auto& it : batch.changed)
                note_batch_usage(it.usage);
        }
        to->respond(membership::wire::encode(answer));
    } catch (const core::malformed_message& e) {
        observability::note_malformed(counters_, "lease_batches_malformed", e);
        to->refuse();
    }
}

void lease_manager::follow_leader(core::time_point now)
{
    const auto leader = table_ ? std::nullopt : group_.leader();
    if (leader_client_ != nullptr && leader_client_->peer() != leader)
        std::exchange(leader_client_, nullptr)->deleteLater();
    if (!leader)
        return;
    if (leader_client_ == nullptr) {
        leader_client_ = new transport::http2_client( // NOLINT
            *leader, source_address_, transport::http2_limits{}, meter_, this);
        senders_.forget_leader(now);
    }
    if (senders_.is_due(now))
        send_batch(now);
}

void lease_manager::send_batch(core::time_point now)
{
    // Also without senders: the answer says that the leader is there, and its stamp serves the first sender.
    const auto batch = senders_.make_batch(now);
    counters_.add("lease_batches_sent", 1);
    transport::rpc_client rpc(*leader_client_);
    rpc.call(batch_path, membership::wire::encode(batch), batch_timeout,
        [self = QPointer<lease_manager>(this), client = leader_client_, number = batch.number](const auto& result) {
            // The answer of a former leader says nothing about the present one.
            if (self && self->leader_client_ == client && result.status == transport::rpc_status::ok)
                self->on_batch_answer(number, result.body);
        });
}

void lease_manager::on_batch_answer(std::uint64_t number, const std::string& body)
{
    const auto now = transport::read_clock();
    try {
        const auto answer = membership::wire::decode_lease_batch_answer(body);
        if (answer.result != membership::batch_result::taken)
            counters_.add("lease_batches_refused", 1);
        senders_.on_answer(number, answer, now);
        answer_waiting(now);
    } catch (const core::malformed_message& e) {
        observability::note_malformed(counters_, "lease_batch_answers_malformed", e);
    }
}

void lease_manager::answer_waiting(core::time_point now)
{
    std::vector<waiting_call> left;
    for (auto& it : std::exchange(waiting_, {})) {
        const bool has_leader = leader_client_ != nullptr && now - it.since < max_wait;
        const auto answer = senders_.find_answer(it.sender, now);
        if (!has_leader)
            answer_no_leader(it.to);
        else if (answer)
            it.to->respond(membership::wire::encode(*answer));
        else
            left.push_back(std::move(it));
    }
    waiting_ = std::move(left);
}

void lease_manager::note_usage(const std::string& usage)
{
    if (usage.empty())
        return;
    if (!usage_->note(decode_usage_(usage), group_.usage()))
        counters_.add("usage_reports_refused", 1);
}

void lease_manager::on_tick()
{
    const auto now = transport::read_clock();
    follow_leadership(now);
    follow_leader(now);
    answer_waiting(now);
    if (!table_)
        return;
    table_->tick(now);
    table_->set_controls(group_.members());
    propose(now);
    submit_usage(now);
}

void lease_manager::follow_leadership(core::time_point now)
{
    const bool leads = group_.is_leader();
    if (leads == table_.has_value())
        return;
    if (!leads) {
        table_.reset();
        followers_.reset();
        usage_.reset();
        take_state(group_.state());
        return;
    }
    table_.emplace(limits_, now);
    followers_.emplace(membership::follower_limits{}, now);
    ++leadership_epoch_;
    usage_.emplace(accounting::usage_collector::limits{}, now);
    take_state(group_.state());
}

void lease_manager::take_state(const dissemination::system_state_snapshot& state)
{
    if (!table_) {
        senders_.update(state->configuration, state->membership, state->applied);
        return;
    }
    // Both pointers share the ownership of the whole snapshot.
    table_->update(
        {state, &state->configuration}, {state, &state->membership}, state->applied, transport::read_clock());
}

void lease_manager::propose(core::time_point now)
{
    if (proposing_ || group_.state()->applied < proposed_)
        return;
    const auto change = table_->propose(now, transport::read_wall_clock());
    if (!change)
        return;
    proposing_ = true;
    counters_.add("membership_changes_proposed", 1);
    group_.submit(*change, [self = QPointer<lease_manager>(this), change = *change](const auto& result) {
        if (!self)
            return;
        self->proposing_ = false;
        if (result.status == submit_status::committed) {
            self->proposed_ = result.at;
            log_change(change, result.at);
        } else
            self->counters_.add("membership_changes_failed", 1);
    });
}

void lease_manager::submit_usage(core::time_point now)
{
    const auto batch = usage_->take(group_.usage(), now, transport::read_wall_clock());
    if (!batch)
        return;
    counters_.add("usage_batches_proposed", 1);
    group_.submit(*batch, [self = QPointer<lease_manager>(this), reign = leadership_epoch_](const auto& result) {
        if (self && self->usage_ && self->leadership_epoch_ == reign)
            self->usage_->finish(result.status == submit_status::committed);
    });
}

void lease_manager::note_batch_usage(const std::string& usage)
{
    // One sender's malformed report must not keep the leader from taking the others' leases.
    try {
        note_usage(usage);
    } catch (const core::malformed_message& e) {
        observability::note_malformed(counters_, "usage_reports_malformed", e);
    }
}

bool lease_manager::is_complete() const
{
    return table_ && group_.is_leader() && table_->is_settled(transport::read_clock());
}

std::vector<membership::process_status> lease_manager::processes() const
{
    if (!table_ || !group_.is_leader())
        return {};
    return table_->processes(transport::read_clock());
}

QJsonObject lease_manager::report() const
{
    QJsonArray live;
    for (const auto& it : processes()) {
        live.append(QJsonObject{{"name", QString::fromStdString(it.name)},
            {"role", it.role == membership::process_role::agent ? "agent" : "balancer"},
            {"domain", QString::fromStdString(it.domain.value())},
            {"applied", QString::fromStdString(to_string(it.applied))}});
    }
    const auto& usage = group_.usage();
    const QJsonObject usage_report{{"open_entries", static_cast<qint64>(usage.open_entries)},
        {"folded_entries", static_cast<qint64>(usage.folded.size())},
        {"refused_reports", static_cast<qint64>(usage.refused_reports)},
        {"dropped_sums", static_cast<qint64>(usage.dropped_sums)}};
    return {{"leader", table_.has_value()}, {"complete", is_complete()}, {"processes", live},
        {"senders", static_cast<qint64>(table_ ? 0 : senders_.size())}, {"usage", usage_report}};
}

} // namespace ibisdyke::frontends
