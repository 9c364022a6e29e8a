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

/// Heartbeats that wait for the leader longer than this are answered with `no_leader`. Shorter than the sender's
/// timeout of 500 ms, so that the answer arrives in time.
constexpr core::milliseconds max_heartbeat_wait{400};

/// Logs each upstream whose record has changed.
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
    router.add_call("/membership/heartbeat",
        [this](const std::string& body, const responder& caller) { on_heartbeat(body, caller); });
    router.add_call("/membership/forwarded-heartbeat",
        [this](const std::string& body, const responder& caller) { on_forwarded_heartbeat(body, caller); });
    router.add_call(batch_path, [this](const std::string& body, const responder& caller) { on_batch(body, caller); });
    group_.on_state_change([self = QPointer<lease_manager>(this)](const auto& state) {
        if (self)
            self->apply_state(state);
    });
    apply_state(group_.state());
    timer_.setTimerType(Qt::PreciseTimer);
    connect(&timer_, &QTimer::timeout, this, &lease_manager::on_tick);
    timer_.start(tick_period);
}

void lease_manager::on_heartbeat(const std::string& body, const responder& caller)
{
    update_role(transport::read_clock());
    if (leases_) {
        answer_as_leader(body, caller);
        return;
    }
    if (group_.leader())
        answer_as_follower(body, caller);
    else
        answer_no_leader(caller);
}

void lease_manager::on_forwarded_heartbeat(const std::string& body, const responder& caller)
{
    update_role(transport::read_clock());
    // Followers of earlier versions forward each heartbeat separately. It is not forwarded again, because two followers
    // that take each other for the leader would pass it back and forth.
    if (leases_)
        answer_as_leader(body, caller);
    else
        answer_no_leader(caller);
}

void lease_manager::answer_as_leader(const std::string& body, const responder& caller)
{
    try {
        const auto message = membership::wire::decode_heartbeat(body);
        counters_.add("heartbeats_received", 1);
        const auto answer = leases_->on_heartbeat(message, transport::read_clock());
        add_usage(message.usage);
        caller->respond(membership::wire::encode(answer));
    } catch (const core::malformed_message& e) {
        observability::note_malformed(counters_, "heartbeats_malformed", e);
        caller->refuse();
    }
}

void lease_manager::answer_no_leader(const responder& caller) const
{
    membership::heartbeat_answer answer;
    answer.result = membership::heartbeat_result::no_leader;
    answer.latest = group_.state()->applied;
    caller->respond(membership::wire::encode(answer));
}

void lease_manager::answer_as_follower(const std::string& body, const responder& caller)
{
    try {
        const auto now = transport::read_clock();
        const auto message = membership::wire::decode_heartbeat(body);
        counters_.add("heartbeats_received", 1);
        if (const auto answer = senders_.on_heartbeat(message, now))
            caller->respond(membership::wire::encode(*answer));
        else
            pending_heartbeats_.push_back({message.sender, now, caller});
    } catch (const core::malformed_message& e) {
        observability::note_malformed(counters_, "heartbeats_malformed", e);
        caller->refuse();
    }
}

void lease_manager::on_batch(const std::string& body, const responder& caller)
{
    const auto now = transport::read_clock();
    update_role(now);
    membership::lease_batch_answer answer;
    answer.result = membership::batch_result::not_leader;
    try {
        const auto batch = membership::wire::decode_lease_batch(body);
        counters_.add("lease_batches_received", 1);
        if (leases_)
            answer = followers_->on_batch(batch, *leases_, now);
        if (answer.result == membership::batch_result::accepted) {
            for (const auto& it : batch.full_heartbeats)
                add_batch_usage(it.usage);
            for (const auto& it : batch.changed)
                add_batch_usage(it.usage);
        }
        caller->respond(membership::wire::encode(answer));
    } catch (const core::malformed_message& e) {
        observability::note_malformed(counters_, "lease_batches_malformed", e);
        caller->refuse();
    }
}

void lease_manager::report_to_leader(core::time_point now)
{
    const auto leader = leases_ ? std::nullopt : group_.leader();
    if (leader_client_ != nullptr && leader_client_->peer() != leader)
        std::exchange(leader_client_, nullptr)->deleteLater();
    if (!leader)
        return;
    if (leader_client_ == nullptr) {
        leader_client_ = new transport::http2_client( // NOLINT
            *leader, source_address_, transport::http2_limits{}, meter_, this);
        senders_.reset_leader(now);
    }
    if (senders_.is_due(now))
        send_batch(now);
}

void lease_manager::send_batch(core::time_point now)
{
    // A batch is sent even without senders: its answer shows that the leader is reachable and contains the timestamp
    // that the next batch must echo.
    const auto batch = senders_.make_batch(now);
    counters_.add("lease_batches_sent", 1);
    transport::rpc_client rpc(*leader_client_);
    rpc.call(batch_path, membership::wire::encode(batch), batch_timeout,
        [self = QPointer<lease_manager>(this), client = leader_client_, number = batch.number](const auto& result) {
            // An answer from a former leader is ignored, because it says nothing about the current leader.
            if (self && self->leader_client_ == client && result.status == transport::rpc_status::ok)
                self->on_batch_answer(number, result.body);
        });
}

void lease_manager::on_batch_answer(std::uint64_t number, const std::string& body)
{
    const auto now = transport::read_clock();
    try {
        const auto answer = membership::wire::decode_lease_batch_answer(body);
        if (answer.result != membership::batch_result::accepted)
            counters_.add("lease_batches_refused", 1);
        senders_.on_answer(number, answer, now);
        answer_pending_heartbeats(now);
    } catch (const core::malformed_message& e) {
        observability::note_malformed(counters_, "lease_batch_answers_malformed", e);
    }
}

void lease_manager::answer_pending_heartbeats(core::time_point now)
{
    std::vector<pending_heartbeat> remaining;
    for (auto& it : std::exchange(pending_heartbeats_, {})) {
        const bool has_leader = leader_client_ != nullptr && now - it.received < max_heartbeat_wait;
        const auto answer = senders_.find_answer(it.sender, now);
        if (!has_leader)
            answer_no_leader(it.caller);
        else if (answer)
            it.caller->respond(membership::wire::encode(*answer));
        else
            remaining.push_back(std::move(it));
    }
    pending_heartbeats_ = std::move(remaining);
}

void lease_manager::add_usage(const std::string& usage)
{
    if (usage.empty())
        return;
    if (!usage_collector_->add_report(decode_usage_(usage), group_.usage()))
        counters_.add("usage_reports_refused", 1);
}

void lease_manager::on_tick()
{
    const auto now = transport::read_clock();
    update_role(now);
    report_to_leader(now);
    answer_pending_heartbeats(now);
    if (!leases_)
        return;
    leases_->tick(now);
    leases_->set_controls(group_.members());
    propose_membership_change(now);
    submit_usage(now);
}

void lease_manager::update_role(core::time_point now)
{
    const bool leads = group_.is_leader();
    if (leads == leases_.has_value())
        return;
    if (!leads) {
        leases_.reset();
        followers_.reset();
        usage_collector_.reset();
        apply_state(group_.state());
        return;
    }
    leases_.emplace(limits_, now);
    followers_.emplace(membership::follower_limits{}, now);
    ++leadership_epoch_;
    usage_collector_.emplace(accounting::usage_collector::limits{}, now);
    apply_state(group_.state());
}

void lease_manager::apply_state(const dissemination::system_state_snapshot& state)
{
    if (!leases_) {
        senders_.update(state->configuration, state->membership, state->applied);
        return;
    }
    // Both pointers share ownership of the whole snapshot.
    leases_->update(
        {state, &state->configuration}, {state, &state->membership}, state->applied, transport::read_clock());
}

void lease_manager::propose_membership_change(core::time_point now)
{
    if (change_in_progress_ || group_.state()->applied < last_change_version_)
        return;
    const auto change = leases_->propose(now, transport::read_wall_clock());
    if (!change)
        return;
    change_in_progress_ = true;
    counters_.add("membership_changes_proposed", 1);
    group_.submit(*change, [self = QPointer<lease_manager>(this), change = *change](const auto& result) {
        if (!self)
            return;
        self->change_in_progress_ = false;
        if (result.status == submit_status::committed) {
            self->last_change_version_ = result.at;
            log_change(change, result.at);
        } else
            self->counters_.add("membership_changes_failed", 1);
    });
}

void lease_manager::submit_usage(core::time_point now)
{
    const auto batch = usage_collector_->take_batch(group_.usage(), now, transport::read_wall_clock());
    if (!batch)
        return;
    counters_.add("usage_batches_proposed", 1);
    group_.submit(*batch, [self = QPointer<lease_manager>(this), epoch = leadership_epoch_](const auto& result) {
        if (self && self->usage_collector_ && self->leadership_epoch_ == epoch)
            self->usage_collector_->finish_batch(result.status == submit_status::committed);
    });
}

void lease_manager::add_batch_usage(const std::string& usage)
{
    // A malformed report of one sender must not prevent the renewal of the other senders' leases.
    try {
        add_usage(usage);
    } catch (const core::malformed_message& e) {
        observability::note_malformed(counters_, "usage_reports_malformed", e);
    }
}

bool lease_manager::is_complete() const
{
    return leases_ && group_.is_leader() && leases_->is_settled(transport::read_clock());
}

std::vector<membership::process_status> lease_manager::processes() const
{
    if (!leases_ || !group_.is_leader())
        return {};
    return leases_->processes(transport::read_clock());
}

QJsonObject lease_manager::report() const
{
    QJsonArray live_processes;
    for (const auto& it : processes()) {
        live_processes.append(QJsonObject{{"name", QString::fromStdString(it.name)},
            {"role", it.role == membership::process_role::agent ? "agent" : "balancer"},
            {"domain", QString::fromStdString(it.domain.value())},
            {"applied", QString::fromStdString(to_string(it.applied))}});
    }
    const auto& usage = group_.usage();
    const QJsonObject usage_report{{"open_entries", static_cast<qint64>(usage.open_entries)},
        {"folded_entries", static_cast<qint64>(usage.folded.size())},
        {"refused_reports", static_cast<qint64>(usage.refused_reports)},
        {"dropped_sums", static_cast<qint64>(usage.dropped_sums)}};
    return {{"leader", leases_.has_value()}, {"complete", is_complete()}, {"processes", live_processes},
        {"senders", static_cast<qint64>(leases_ ? 0 : senders_.size())}, {"usage", usage_report}};
}

} // namespace ibisdyke::frontends
