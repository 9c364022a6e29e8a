#pragma once

#include "ibisdyke/frontends/administration/admin_api.h"
#include "ibisdyke/frontends/control/file_log_storage.h"
#include "ibisdyke/frontends/control/group_membership_manager.h"
#include "ibisdyke/frontends/control/lease_manager.h"
#include "ibisdyke/frontends/control/replicated_control_group.h"
#include "ibisdyke/frontends/control/route_plan_service.h"
#include "ibisdyke/frontends/discovery/subscription_server.h"
#include "ibisdyke/frontends/process/front_end.h"
#include "ibisdyke/frontends/process/process_runtime.h"
#include "ibisdyke/transport/http2_server.h"
#include "ibisdyke/transport/rpc_router.h"

#include <QHttpServer>
#include <QTimer>

#include <memory>
#include <string>

namespace ibisdyke::control {

/// A control process. It runs the replicated log, the leases, the subscriptions to the system state and the
/// administration API.
class control_process {
public:
    static void declare_settings(settings::settings_parser& parser);

    /// Throws core::invalid_input for an invalid setting, core::system_failure when the data folder or an address
    /// cannot be used, and core::error when the process is stopped while it waits for free space in the data folder.
    control_process(const settings::settings_source& source, const frontends::front_end& front_end);

    /// Runs until the process stops after a signal or a failure.
    frontends::exit_code run();

private:
    void create_membership_manager(const settings::setting_values& values, const replication::raft_options& options);
    void create_operators_server(const settings::setting_values& values, const frontends::front_end& front_end);
    void add_gauges();
    void ensure_bootstrap_token();
    void stop();
    frontends::health check_health() const;

    std::unique_ptr<frontends::process_runtime> runtime_;
    std::string bootstrap_token_;
    core::milliseconds drain_limit_;
    std::unique_ptr<frontends::file_log_storage> storage_;
    transport::rpc_router router_;
    std::unique_ptr<frontends::replicated_control_group> group_;
    std::unique_ptr<frontends::subscription_server> subscriptions_;
    std::unique_ptr<frontends::lease_manager> leases_;
    std::unique_ptr<frontends::admin_api> api_;
    std::unique_ptr<frontends::route_plan_service> plans_;
    /// Null when the settings list the members of the group (--peers) instead of seeds.
    std::unique_ptr<frontends::group_membership_manager> membership_manager_;
    std::unique_ptr<QHttpServer> operators_server_;
    QTimer bootstrap_timer_;
    /// Declared last, so that it is destroyed first: its requests use all other members.
    std::unique_ptr<transport::http2_server> peer_server_;
};

} // namespace ibisdyke::control
