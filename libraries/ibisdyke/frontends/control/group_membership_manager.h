#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/frontends/control/replicated_control_group.h"
#include "ibisdyke/observability/counter_sink.h"
#include "ibisdyke/replication/group_membership.h"
#include "ibisdyke/transport/http2_client.h"
#include "ibisdyke/transport/rpc_client.h"
#include "ibisdyke/transport/rpc_router.h"
#include "ibisdyke/transport/traffic_meter.h"

#include <QObject>
#include <QTimer>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace ibisdyke::frontends {

/// Keeps the control group without an operator: a process that has no leader asks to join, and the leader takes it in
/// and removes members that stay silent once they are replaced. Lives on the control thread.
class group_membership_manager : public QObject {
public:
    /// `self` is this process as the group is to record it; `seeds` are peer endpoints of control processes. Registers
    /// its call at `router` at once. The references and `meter` (which may be null) must outlive the manager.
    group_membership_manager(replicated_control_group& group, replication::member self,
        std::vector<core::endpoint> seeds, transport::rpc_router& router, observability::counter_sink& counters,
        std::uint32_t source_address, transport::traffic_meter* meter, const replication::group_limits& limits,
        QObject* parent);

    /// Replaces the seeds.
    void set_seeds(std::vector<core::endpoint> seeds) { seeds_ = std::move(seeds); }

private:
    void on_join(const std::string& body, const std::shared_ptr<transport::rpc_responder>& answer);
    void add(const replication::member& joining);
    void on_tick();
    void remove_silent();
    void ask_to_join();
    void on_answer(const transport::rpc_result& result);
    std::vector<core::endpoint> join_targets() const;

    replicated_control_group& group_;
    replication::member self_;
    std::vector<core::endpoint> seeds_;
    observability::counter_sink& counters_;
    std::uint32_t source_address_;
    transport::traffic_meter* meter_;
    replication::group_limits limits_;
    /// The process that is asked to take this one in.
    std::unique_ptr<transport::http2_client> client_;
    std::optional<core::endpoint> named_leader_;
    std::size_t next_contact_ = 0;
    bool asking_ = false;
    bool removing_ = false;
    core::time_point asked_{};
    QTimer timer_;
};

} // namespace ibisdyke::frontends
