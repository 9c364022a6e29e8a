#pragma once

#include "ibisdyke/frontends/control/replicated_control_group.h"
#include "ibisdyke/frontends/control/rollout_status.h"
#include "ibisdyke/observability/counter_sink.h"

#include <QHttpServerRequest>
#include <QObject>
#include <QStringList>

#include <functional>
#include <memory>
#include <string>
#include <vector>

class QHttpServer;

namespace ibisdyke::frontends {

class admin_exchange;

/// The administration API of a control process: JSON below /v1/ over HTTP/1.1. docs/operations/api.md lists the routes.
///
/// Every answer comes from the leader, after a majority has confirmed it. A follower answers 421 with the leader's
/// administration address. Lives on the control thread.
class admin_api : public QObject {
public:
    /// The references must outlive the API.
    admin_api(replicated_control_group& group, const rollout_status& rollout, observability::counter_sink& counters,
        QObject* parent);

    /// Takes all requests of the server that have no route there.
    void serve(QHttpServer& server);

    /// Largest body of a request, in bytes.
    static constexpr qsizetype max_body_bytes = qsizetype{1024} * 1024;

private:
    using exchange_pointer = std::shared_ptr<admin_exchange>;
    using handler = void (admin_api::*)(const exchange_pointer&);

    struct route {
        QHttpServerRequest::Method method = QHttpServerRequest::Method::Get;
        /// Path below /v1/; "*" stands for any one segment.
        QStringList path;
        configuration::role needed = configuration::role::administer;
        handler handle = nullptr;
    };

    void dispatch(const exchange_pointer& it);
    const route* find_route(const exchange_pointer& it, bool& path_known) const;
    std::optional<configuration::token> authenticate(const admin_exchange& it) const;
    void redirect(const exchange_pointer& it) const;
    void submit(const exchange_pointer& it, std::vector<configuration::change> changes);
    replicated_control_group::member_change_callback answer_member_change(const exchange_pointer& it);
    static void answer_outcome(const exchange_pointer& it, const submit_result& result);

    void list_profiles(const exchange_pointer& it);
    void show_profile(const exchange_pointer& it);
    void put_profile(const exchange_pointer& it);
    void remove_profile(const exchange_pointer& it);
    void list_services(const exchange_pointer& it);
    void put_service(const exchange_pointer& it);
    void remove_service(const exchange_pointer& it);
    void list_domains(const exchange_pointer& it);
    void set_domain(const exchange_pointer& it);
    void list_upstreams(const exchange_pointer& it);
    void set_upstream(const exchange_pointer& it);
    void list_tokens(const exchange_pointer& it);
    void put_token(const exchange_pointer& it);
    void remove_token(const exchange_pointer& it);
    void show_usage(const exchange_pointer& it);
    void show_history(const exchange_pointer& it);
    void show_control(const exchange_pointer& it);
    void add_control(const exchange_pointer& it);
    void remove_control(const exchange_pointer& it);
    void show_rollout(const exchange_pointer& it);

    replicated_control_group& group_;
    const rollout_status& rollout_;
    observability::counter_sink& counters_;
    std::vector<route> routes_;
};

} // namespace ibisdyke::frontends
