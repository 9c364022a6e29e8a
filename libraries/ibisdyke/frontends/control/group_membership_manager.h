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

/// Adds and removes members of the control group without an operator. A process without leader contact sends join
/// requests. The leader adds such processes and removes silent members, but a voter only while enough other voters
/// answer. Lives on the control thread.
class group_membership_manager : public QObject {
public:
    /// `self` is the member record of this process; `seeds` are peer endpoints of control processes. Registers the
    /// manager's call at `router`. The references and `meter` (which may be null) must outlive the manager.
    group_membership_manager(replicated_control_group& group, replication::member self,
        std::vector<core::endpoint> seeds, transport::rpc_router& router, observability::counter_sink& counters,
        std::uint32_t source_address, transport::traffic_meter* meter, const replication::group_limits& limits,
        QObject* parent);

    void set_seeds(std::vector<core::endpoint> seeds) { seeds_ = std::move(seeds); }

private:
    void on_join_request(const std::string& body, const std::shared_ptr<transport::rpc_responder>& answer);
    void add_member(const replication::member& joining);
    void on_tick();
    void remove_silent_member();
    void send_join_request();
    void on_join_answer(const transport::rpc_result& result);
    std::vector<core::endpoint> join_targets() const;

    replicated_control_group& group_;
    replication::member self_;
    std::vector<core::endpoint> seeds_;
    observability::counter_sink& counters_;
    std::uint32_t source_address_;
    transport::traffic_meter* meter_;
    replication::group_limits limits_;
    /// Connection to the process that the last join request was sent to.
    std::unique_ptr<transport::http2_client> join_client_;
    /// The leader named in the last join answer. The next join request goes there.
    std::optional<core::endpoint> suggested_leader_;
    std::size_t next_target_ = 0;
    bool join_in_progress_ = false;
    bool removal_in_progress_ = false;
    core::time_point last_join_request_{};
    QTimer timer_;
};

} // namespace ibisdyke::frontends
