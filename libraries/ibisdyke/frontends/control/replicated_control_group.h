#pragma once

#include "ibisdyke/frontends/control/control_group.h"
#include "ibisdyke/frontends/control/control_state_machine.h"
#include "ibisdyke/frontends/control/log_writer.h"
#include "ibisdyke/frontends/control/pending_operations.h"
#include "ibisdyke/observability/counter_sink.h"
#include "ibisdyke/observability/state_reporter.h"
#include "ibisdyke/replication/log_storage.h"
#include "ibisdyke/replication/raft_node.h"
#include "ibisdyke/transport/http2_client.h"
#include "ibisdyke/transport/rpc_router.h"
#include "ibisdyke/transport/traffic_meter.h"

#include <QObject>
#include <QTimer>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ibisdyke::frontends {

struct replicated_control_group_options {
    /// The group sets `folder_incarnation` from the storage.
    replication::raft_options raft;
    /// Local IPv4 address (host byte order) for outgoing connections; 0 lets the system choose.
    std::uint32_t source_address = 0;
    /// A snapshot replaces the log after this many entries. Limits the replay at start, which takes up to a few
    /// milliseconds for each entry at the design size.
    std::uint64_t snapshot_entries = 1024;
    /// A snapshot also replaces the log once the commands applied since the last snapshot reach this total size. At the
    /// design size, a usage record takes up to 0.35 MB.
    std::size_t snapshot_bytes = std::size_t{32} * 1024 * 1024;
};

/// The control group on top of the replicated log. Drives a raft_node: sends its messages, persists its writes and
/// applies the entries that it commits. Writes of one turn of the event loop share one sync. Lives on the control
/// thread.
class replicated_control_group : public QObject,
                                 public control_group,
                                 public observability::state_reporter,
                                 private log_writer_observer {
public:
    using state_callback = std::function<void(const dissemination::system_state_snapshot&)>;
    using failure_callback = std::function<void(const std::string& reason)>;
    using member_change_callback = pending_operations::member_change_callback;

    /// Loads the stored state and registers the group's call at `router`. The references and `meter` (which may be
    /// null) must outlive the group. `on_failure` runs when the storage fails. The group then stops answering for good,
    /// because it is unknown whether its last writes are durable. While the disk is full, the group neither answers nor
    /// leads; it resumes once the disk has space.
    replicated_control_group(replicated_control_group_options options, replication::log_storage& storage,
        transport::rpc_router& router, observability::counter_sink& counters, transport::traffic_meter* meter,
        failure_callback on_failure, QObject* parent);

    bool is_leader() const override;
    std::optional<core::endpoint> leader() const override;
    std::map<core::control_id, core::endpoint> members() const override;
    void submit(const control_command& command, submit_callback done) override;
    dissemination::system_state_snapshot state() const override { return state_machine_.state().system; }
    const accounting::usage_state& usage() const override { return state_machine_.state().usage; }
    void on_state_change(state_callback callback) override;

    /// Calls `done` with true once a majority has confirmed that state(), command_history() and usage() contain
    /// everything that was committed before the call, or with false if this process is not the leader.
    void confirm_read(std::function<void(bool)> done);

    const configuration::plan_document& plan_document() const { return state_machine_.state().plan_document; }

    const configuration::command_history& command_history() const { return state_machine_.state().command_history; }

    /// Whether this process leads or had contact with the leader within the given time.
    bool has_recent_leader(core::milliseconds within) const;

    const replication::raft_node& node() const { return *node_; }

    /// The administration API endpoint of the leader, if it is known.
    std::optional<core::endpoint> leader_admin() const;

    /// Propose a change of the group members. `done` runs once the change is committed or refused.
    void add_member(const replication::member& added, member_change_callback done);
    void remove_member(core::control_id id, member_change_callback done);

    /// Transfers leadership to another member. `done` runs once another member leads and accepts commands, at the
    /// latest after `timeout`. It runs at once if this process is not the leader or no transfer begins.
    void transfer_leadership(core::milliseconds timeout, std::function<void()> done);

    std::string name() const override { return "replication"; }
    QJsonObject report() const override;

private:
    using responder = std::shared_ptr<transport::rpc_responder>;

    /// An output of the node that is not processed yet. For the output of a call, also the calling member and the
    /// responder for the answer.
    struct pending_output {
        replication::output result;
        std::optional<core::control_id> caller;
        responder answer;
    };

    void on_call(const std::string& body, const responder& answer);
    void on_answer(const std::string& body);
    void on_timer();
    void enqueue(pending_output it);
    void flush();
    void on_storage_full() override { pending_.abort_all(); }
    void on_space_available() override { flush(); }
    void on_storage_failure(const std::string& reason) override;
    bool is_usable() const { return writer_->is_usable(); }
    bool has_successor() const;
    void record_commit_index();
    void process_output(const pending_output& it);
    void send(const replication::message& it);
    void apply(const replication::entry& committed);
    void await_member_change(replication::proposal proposed, member_change_callback done);
    void update_role();
    void restart_timer();
    void compact_if_due();
    void publish() const;
    const replication::member* find_member(core::control_id id) const;
    const replication::member* find_leader() const;

    replicated_control_group_options options_;
    observability::counter_sink& counters_;
    transport::traffic_meter* meter_;
    failure_callback on_failure_;
    control_state_machine state_machine_;
    std::unique_ptr<replication::raft_node> node_;
    log_writer* writer_;
    std::map<core::endpoint, transport::http2_client*> clients_;
    std::vector<state_callback> callbacks_;
    /// Outputs whose writes are not passed to the writer yet.
    std::vector<pending_output> queued_outputs_;
    /// Outputs whose writes are with the writer; processed once these are durable.
    std::vector<pending_output> unflushed_outputs_;
    bool flush_scheduled_ = false;
    core::version applied_;
    /// The total size of the commands that were applied since the last snapshot.
    std::size_t applied_bytes_ = 0;
    pending_operations pending_;
    /// The role, leader and term at the last call of update_role().
    replication::raft_role last_role_ = replication::raft_role::follower;
    std::optional<core::control_id> last_leader_;
    std::uint64_t last_term_ = 0;
    QTimer timer_;
    QTimer commit_record_timer_;
};

} // namespace ibisdyke::frontends
