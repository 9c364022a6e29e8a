#include "ibisdyke/frontends/control/replicated_control_group.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/observability/log.h"
#include "ibisdyke/observability/malformed_message.h"
#include "ibisdyke/replication/wire/codec.h"
#include "ibisdyke/transport/clock.h"
#include "ibisdyke/transport/rpc_client.h"

#include <QJsonArray>
#include <QPointer>
#include <QRandomGenerator>

#include <algorithm>
#include <utility>

namespace ibisdyke::frontends {

namespace {

constexpr const char* message_path = "/replication/message";

/// Messages older than this are obsolete, because the leader has sent many newer ones since.
constexpr core::milliseconds call_timeout{1000};

/// A new commit index is recorded with the next write, or after this time if there is none. The delay lets a burst of
/// changes share one such write.
constexpr core::milliseconds commit_record_delay{300};

const char* role_name(replication::raft_role it)
{
    switch (it) {
    case replication::raft_role::leader:
        return "leader";
    case replication::raft_role::candidate:
        return "candidate";
    case replication::raft_role::follower:
        break;
    }
    return "follower";
}

QString text(const std::string& it)
{
    return QString::fromStdString(it);
}

} // namespace

replicated_control_group::replicated_control_group(replicated_control_group_options options,
    replication::log_storage& storage, transport::rpc_router& router, observability::counter_sink& counters,
    transport::traffic_meter* meter, failure_callback on_failure, QObject* parent)
    : QObject(parent)
    , options_(std::move(options))
    , counters_(counters)
    , meter_(meter)
    , on_failure_(std::move(on_failure))
{
    options_.raft.folder_incarnation = storage.incarnation();
    const auto stored = storage.load();
    if (stored.base) {
        state_machine_.restore(stored.base->state, stored.base->last);
        applied_ = stored.base->last;
    }
    node_ = std::make_unique<replication::raft_node>(
        options_.raft, stored, QRandomGenerator::system()->generate64(), transport::read_clock());
    for (auto index = applied_.index + 1; index <= node_->commit_index(); ++index) {
        const auto& entry = node_->log().at(index);
        state_machine_.apply(entry);
        applied_ = entry.at;
        applied_bytes_ += entry.command.size();
    }
    writer_ = new log_writer(storage, node_->commit_index(), *this, counters_, this);
    router.add_call(
        message_path, [self = QPointer<replicated_control_group>(this)](const auto& body, const auto& answer) {
            if (self)
                self->on_call(body, answer);
        });
    commit_record_timer_.setSingleShot(true);
    connect(&commit_record_timer_, &QTimer::timeout, this, &replicated_control_group::record_commit_index);
    timer_.setSingleShot(true);
    timer_.setTimerType(Qt::PreciseTimer);
    connect(&timer_, &QTimer::timeout, this, &replicated_control_group::on_timer);
    restart_timer();
}

bool replicated_control_group::is_leader() const
{
    // The state is known to contain every committed record only once a record of this leader's own term is applied.
    return is_usable() && node_->leads(transport::read_clock()) && applied_.term == node_->term();
}

const replication::member* replicated_control_group::find_member(core::control_id id) const
{
    for (const auto* const members : {&node_->configuration().members, &options_.raft.initial_members}) {
        const auto it = std::find_if(members->begin(), members->end(), [&](const auto& m) { return m.id == id; });
        if (it != members->end())
            return &*it;
    }
    return nullptr;
}

bool replicated_control_group::has_recent_leader(core::milliseconds within) const
{
    return node_->has_recent_leader(within, transport::read_clock());
}

/// Returns the leader if this member's knowledge of it is current. It is not current while this member's storage is
/// unusable, because the member then processes no messages. A leader does not name itself while it refuses commands:
/// during a leadership transfer, or without contact to a majority.
const replication::member* replicated_control_group::find_leader() const
{
    const auto id = node_->leader();
    const bool accepts_commands = is_leader() && !node_->is_transferring(transport::read_clock());
    const bool stale = !is_usable() || (id == options_.raft.self && !accepts_commands);
    return id && !stale ? find_member(*id) : nullptr;
}

std::optional<core::endpoint> replicated_control_group::leader() const
{
    const auto* const it = find_leader();
    return it == nullptr ? std::nullopt : std::optional(it->peer_endpoint);
}

std::map<core::control_id, core::endpoint> replicated_control_group::members() const
{
    std::map<core::control_id, core::endpoint> result;
    for (const auto& it : node_->configuration().members)
        result.emplace(it.id, it.peer_endpoint);
    return result;
}

std::optional<core::endpoint> replicated_control_group::leader_admin() const
{
    const auto* const it = find_leader();
    return it == nullptr ? std::nullopt : std::optional(it->admin_endpoint);
}

void replicated_control_group::submit(const control_command& command, submit_callback done)
{
    if (!is_leader()) {
        done({submit_status::not_leader, std::nullopt, {}});
        return;
    }
    auto proposed = node_->propose(wire::encode(command), transport::read_clock());
    if (proposed.status != replication::proposal_status::appended) {
        done({submit_status::not_leader, std::nullopt, {}});
        return;
    }
    pending_.add_command(proposed.at, std::move(done));
    enqueue({std::move(proposed.result), std::nullopt, nullptr});
}

void replicated_control_group::on_state_change(state_callback callback)
{
    callbacks_.push_back(std::move(callback));
}

void replicated_control_group::confirm_read(std::function<void(bool)> done)
{
    replication::output result;
    const auto read = !is_usable() ? std::nullopt : node_->begin_read(transport::read_clock(), result);
    if (!read) {
        done(false);
        return;
    }
    pending_.add_read(*read, std::move(done));
    enqueue({std::move(result), std::nullopt, nullptr});
}

void replicated_control_group::add_member(const replication::member& added, member_change_callback done)
{
    if (!is_usable())
        return done(replication::proposal_status::not_leader);
    await_member_change(node_->add_member(added, transport::read_clock()), std::move(done));
}

void replicated_control_group::remove_member(core::control_id id, member_change_callback done)
{
    if (!is_usable())
        return done(replication::proposal_status::not_leader);
    await_member_change(node_->remove_member(id, transport::read_clock()), std::move(done));
}

void replicated_control_group::await_member_change(replication::proposal proposed, member_change_callback done)
{
    if (proposed.status != replication::proposal_status::appended)
        return done(proposed.status);
    pending_.add_member_change(proposed.at, std::move(done));
    enqueue({std::move(proposed.result), std::nullopt, nullptr});
}

void replicated_control_group::transfer_leadership(core::milliseconds timeout, std::function<void()> done)
{
    if (!is_leader()) {
        done();
        return;
    }
    const auto now = transport::read_clock();
    enqueue({node_->transfer_leadership(now, timeout), std::nullopt, nullptr});
    if (!node_->is_transferring(now)) {
        done();
        return;
    }
    auto* const poll = new QTimer(this);
    constexpr core::milliseconds poll_period{10};
    connect(poll, &QTimer::timeout, this, [this, poll, done = std::move(done)] {
        if (!has_successor() && node_->is_transferring(transport::read_clock()))
            return;
        poll->deleteLater();
        poll->stop();
        done();
    });
    poll->start(poll_period);
}

/// Whether another member leads and has committed an entry of its own term, so that it accepts commands. Until then,
/// this member's vote and acknowledgement may be needed.
bool replicated_control_group::has_successor() const
{
    return !node_->leads(transport::read_clock()) && applied_.term == node_->term();
}

void replicated_control_group::on_call(const std::string& body, const responder& answer)
{
    if (!is_usable()) {
        answer->refuse();
        return;
    }
    try {
        const auto message = replication::wire::decode_message(body);
        enqueue({node_->step(message, transport::read_clock()), message.from, answer});
    } catch (const core::malformed_message& e) {
        observability::note_malformed(counters_, "replication_messages_malformed", e);
        answer->refuse();
    }
}

void replicated_control_group::on_answer(const std::string& body)
{
    if (!is_usable() || body.empty())
        return;
    try {
        enqueue({node_->step(replication::wire::decode_message(body), transport::read_clock()), std::nullopt, nullptr});
    } catch (const core::malformed_message& e) {
        observability::note_malformed(counters_, "replication_messages_malformed", e);
    }
}

void replicated_control_group::on_timer()
{
    if (is_usable())
        enqueue({node_->tick(transport::read_clock()), std::nullopt, nullptr});
}

void replicated_control_group::enqueue(pending_output it)
{
    queued_outputs_.push_back(std::move(it));
    update_role();
    if (!std::exchange(flush_scheduled_, true))
        QMetaObject::invokeMethod(
            this, [this] { flush(); }, Qt::QueuedConnection);
}

void replicated_control_group::flush()
{
    flush_scheduled_ = false;
    if (!is_usable())
        return;
    for (auto& it : std::exchange(queued_outputs_, {})) {
        writer_->add(it.result.writes);
        unflushed_outputs_.push_back(std::move(it));
    }
    if (!writer_->flush(node_->commit_index()))
        return;
    for (const auto& it : std::exchange(unflushed_outputs_, {}))
        process_output(it);
    compact_if_due();
    update_role();
    restart_timer();
    if (node_->commit_index() > writer_->recorded_commit_index() && !commit_record_timer_.isActive())
        commit_record_timer_.start(commit_record_delay);
}

void replicated_control_group::on_storage_failure(const std::string& reason)
{
    timer_.stop();
    pending_.abort_all();
    if (on_failure_)
        on_failure_(reason);
}

void replicated_control_group::record_commit_index()
{
    if (!is_usable() || node_->commit_index() <= writer_->recorded_commit_index())
        return;
    replication::output result;
    result.writes.commit_index = node_->commit_index();
    enqueue({std::move(result), std::nullopt, nullptr});
}

void replicated_control_group::process_output(const pending_output& it)
{
    bool answered = it.answer == nullptr;
    for (const auto& message : it.result.messages) {
        if (!answered && message.to == it.caller) {
            it.answer->respond(replication::wire::encode(message));
            answered = true;
        } else {
            send(message);
        }
    }
    if (!answered)
        it.answer->respond("");
    if (it.result.received_snapshot) {
        state_machine_.restore(it.result.received_snapshot->state, it.result.received_snapshot->last);
        applied_ = it.result.received_snapshot->last;
        applied_bytes_ = 0;
        publish();
    }
    for (const auto& committed : it.result.committed)
        apply(committed);
    for (const auto read : it.result.confirmed_reads)
        pending_.confirm_read(read);
}

void replicated_control_group::send(const replication::message& it)
{
    const auto* const receiver = find_member(it.to);
    if (receiver == nullptr)
        return;
    auto& client = clients_[receiver->peer_endpoint];
    if (client == nullptr) {
        transport::http2_limits limits;
        client = new transport::http2_client(receiver->peer_endpoint, options_.source_address, limits, meter_, this);
    }
    counters_.add("replication_messages_sent", 1);
    transport::rpc_client(*client).call(message_path, replication::wire::encode(it), call_timeout,
        [self = QPointer<replicated_control_group>(this)](const auto& result) {
            if (self && result.status == transport::rpc_status::ok)
                self->on_answer(result.body);
        });
}

void replicated_control_group::apply(const replication::entry& committed)
{
    const auto before = state_machine_.state().system;
    state_machine_.apply(committed);
    applied_ = committed.at;
    applied_bytes_ += committed.command.size();
    if (state_machine_.state().system != before)
        publish();
    pending_.complete_record(committed.at, state_machine_.last_outcome());
}

void replicated_control_group::compact_if_due()
{
    const auto& base = node_->log().base();
    const auto snapshot_index = base ? base->last.index : 0;
    if (applied_.index - snapshot_index < options_.snapshot_entries && applied_bytes_ < options_.snapshot_bytes)
        return;
    applied_bytes_ = 0;
    enqueue({node_->compact(applied_.index, state_machine_.save()), std::nullopt, nullptr});
    counters_.add("log_snapshots", 1);
}

void replicated_control_group::publish() const
{
    const auto current = state();
    for (const auto& callback : callbacks_)
        callback(current);
}

void replicated_control_group::update_role()
{
    if (node_->role() == last_role_ && node_->leader() == last_leader_ && node_->term() == last_term_)
        return;
    const bool was_leader = last_role_ == replication::raft_role::leader;
    const bool was_candidate = last_role_ == replication::raft_role::candidate;
    last_role_ = node_->role();
    last_term_ = node_->term();
    last_leader_ = node_->leader();
    if (last_role_ == replication::raft_role::candidate) {
        if (!was_candidate)
            counters_.add("elections_started", 1);
    } else {
        const auto leader = last_leader_ ? std::to_string(last_leader_->value()) : "unknown";
        const auto counts = node_->count_voters();
        observability::write_log(observability::log_level::info, "role_changed",
            {{"role", role_name(last_role_)}, {"term", last_term_}, {"leader", leader},
                {"committed", node_->commit_index()}, {"voters", std::uint64_t{counts.voters}},
                {"lost_folders", std::uint64_t{counts.lost}}});
    }
    if (was_leader && last_role_ != replication::raft_role::leader)
        pending_.abort_all();
}

void replicated_control_group::restart_timer()
{
    const auto remaining = node_->next_deadline() - transport::read_clock();
    const auto interval = std::chrono::ceil<core::milliseconds>(remaining);
    timer_.start(std::max(interval, core::milliseconds{0}));
}

QJsonObject replicated_control_group::report() const
{
    QJsonArray members;
    for (const auto& it : node_->configuration().members) {
        members.append(QJsonObject{{"id", static_cast<qint64>(it.id.value())},
            {"role", it.role == replication::member_role::voter ? "voter" : "non-voter"},
            {"disk", QString::number(it.folder_incarnation.value())}, {"peer", text(to_string(it.peer_endpoint))},
            {"admin", text(to_string(it.admin_endpoint))},
            {"matched", static_cast<qint64>(node_->match_index_of(it.id))}});
    }
    const auto& log = node_->log();
    QJsonObject result{{"id", static_cast<qint64>(options_.raft.self.value())},
        {"disk", QString::number(options_.raft.folder_incarnation.value())}, {"role", role_name(node_->role())},
        {"current", is_leader()}, {"term", static_cast<qint64>(node_->term())},
        {"committed", static_cast<qint64>(node_->commit_index())}, {"applied", text(to_string(applied_))},
        {"last", text(to_string(log.last()))}, {"log_start", text(to_string(log.start()))}, {"members", members},
        {"lost_folders", static_cast<qint64>(node_->count_voters().lost)}, {"failed", !is_usable()}};
    if (const auto id = node_->leader())
        result.insert("leader", static_cast<qint64>(id->value()));
    return result;
}

} // namespace ibisdyke::frontends
