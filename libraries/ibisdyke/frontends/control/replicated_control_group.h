#pragma once

#include "ibisdyke/frontends/control/control_group.h"
#include "ibisdyke/frontends/control/control_state_machine.h"
#include "ibisdyke/frontends/control/log_writer.h"
#include "ibisdyke/frontends/control/pending_answers.h"
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
    /// `disk` is set from the storage.
    replication::raft_options raft;
    /// Local IPv4 address (host byte order) of outgoing connections; 0 lets the system choose.
    std::uint32_t source_address = 0;
    /// A snapshot replaces the log after this many entries. Bounds the replay at start, which takes up to a few
    /// milliseconds for each entry at the design size.
    std::uint64_t snapshot_entries = 1024;
    /// A snapshot also replaces the log after records of this size: usage records reach 0.35 MB each at the design
    /// size.
    std::size_t snapshot_bytes = std::size_t{32} * 1024 * 1024;
};

/// The control group over the replicated log: carries the messages and the writes of a raft_node. Lives on the control
/// thread. Writes that come in during one turn of the event loop are synced together.
class replicated_control_group : public QObject,
                                 public control_group,
                                 public observability::state_reporter,
                                 private log_writer_observer {
public:
    using state_callback = std::function<void(const dissemination::system_state_snapshot&)>;
    using failure_callback = std::function<void(const std::string& reason)>;
    using change_callback = pending_answers::change_callback;

    /// Loads the storage and registers its call at `router` at once. The references and `meter` (which may be null)
    /// must outlive the group. `on_failure` runs when the storage fails; the group answers nothing afterwards, since
    /// whether its last writes are durable is unknown. While the storage has no room the group neither answers nor
    /// leads, and goes on once it has.
    replicated_control_group(replicated_control_group_options options, replication::log_storage& storage,
        transport::rpc_router& router, observability::counter_sink& counters, transport::traffic_meter* meter,
        failure_callback on_failure, QObject* parent);

    bool is_leader() const override;
    std::optional<core::endpoint> leader() const override;
    std::map<core::control_id, core::endpoint> members() const override;
    void submit(const control_command& command, submit_callback done) override;
    dissemination::system_state_snapshot state() const override { return machine_.state().system; }
    const accounting::usage_state& usage() const override { return machine_.state().usage; }
    void on_state_change(state_callback callback) override;

    /// Calls back with true once a majority has confirmed that state(), history() and usage() hold everything that was
    /// committed before the call; with false when this process does not lead.
    void confirm_read(std::function<void(bool)> done);

    const configuration::plan_document& plan_document() const { return machine_.state().plan_document; }

    const configuration::command_history& history() const { return machine_.state().history; }

    /// Whether this process leads or has heard from the leader within the time.
    bool has_heard_leader(core::milliseconds within) const;

    const replication::raft_node& node() const { return *node_; }

    /// Where the leader serves the administration API, when known.
    std::optional<core::endpoint> leader_admin() const;

    /// Proposes a change of the members; calls back once it is committed or refused.
    void add_member(const replication::member& added, change_callback done);
    void remove_member(core::control_id id, change_callback done);

    /// Asks another member to lead. `done` runs once it does and takes changes, at the latest after `limit`.
    void transfer_leadership(core::milliseconds limit, std::function<void()> done);

    std::string name() const override { return "replication"; }
    QJsonObject report() const override;

private:
    using responder = std::shared_ptr<transport::rpc_responder>;

    /// An output of the node that is still to be carried out, and the call that it answers.
    struct work {
        replication::output result;
        std::optional<core::control_id> caller;
        responder answer;
    };

    void on_call(const std::string& body, const responder& answer);
    void on_message(const std::string& body);
    void on_timer();
    void enqueue(work it);
    void flush();
    void on_storage_full() override { waiting_.fail_all(); }
    void on_space_available() override { flush(); }
    void on_storage_failure(const std::string& why) override;
    bool is_usable() const { return writer_->is_usable(); }
    bool has_successor() const;
    void record_commit();
    void carry_out(const work& it);
    void send(const replication::message& it);
    void apply(const replication::entry& committed);
    void propose_change(replication::proposal made, change_callback done);
    void note_role();
    void schedule();
    void compact();
    void publish() const;
    const replication::member* find_member(core::control_id id) const;
    const replication::member* find_leader() const;

    replicated_control_group_options options_;
    observability::counter_sink& counters_;
    transport::traffic_meter* meter_;
    failure_callback on_failure_;
    control_state_machine machine_;
    std::unique_ptr<replication::raft_node> node_;
    log_writer* writer_;
    std::map<core::endpoint, transport::http2_client*> clients_;
    std::vector<state_callback> callbacks_;
    std::vector<work> work_;
    /// Work to be carried out once its writes are durable.
    std::vector<work> written_;
    bool flush_scheduled_ = false;
    core::version applied_;
    /// The size of the records that were applied since the last snapshot.
    std::size_t applied_bytes_ = 0;
    pending_answers waiting_;
    replication::raft_role noted_role_ = replication::raft_role::follower;
    std::optional<core::control_id> noted_leader_;
    std::uint64_t noted_term_ = 0;
    QTimer timer_;
    QTimer commit_timer_;
};

} // namespace ibisdyke::frontends
