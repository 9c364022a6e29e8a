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

/// The administration API of a control process: JSON over HTTP/1.1 on paths below /v1/. docs/operations/api.md lists
/// the routes.
///
/// Only the leader serves requests, and each result is confirmed by a majority. A follower answers 421 with the
/// leader's administration address. Lives on the control thread.
class admin_api : public QObject {
public:
    /// The references must outlive the API.
    admin_api(replicated_control_group& group, const rollout_status& rollout, observability::counter_sink& counters,
        QObject* parent);

    /// Handles all requests to `server` that match none of its routes.
    void serve(QHttpServer& server);

    static constexpr qsizetype max_body_bytes = qsizetype{1024} * 1024;

private:
    using exchange_pointer = std::shared_ptr<admin_exchange>;
    using handler = void (admin_api::*)(const exchange_pointer&);

    struct route {
        QHttpServerRequest::Method method = QHttpServerRequest::Method::Get;
        /// The path segments below /v1/; "*" matches any single segment.
        QStringList path;
        configuration::role required_role = configuration::role::administer;
        handler handle = nullptr;
    };

    void dispatch(const exchange_pointer& it);
    /// Returns the route for the request, or null. Sets `path_known` when a route has the path, even with another
    /// method.
    const route* find_route(const exchange_pointer& it, bool& path_known) const;
    /// Returns the token that the request was sent with, or nothing if the token is missing or unknown.
    std::optional<configuration::token> authenticate(const admin_exchange& it) const;
    /// Answers that this process is not the leader, with the leader's address if it is known.
    void answer_not_leader(const exchange_pointer& it) const;
    void submit(const exchange_pointer& it, std::vector<configuration::change> changes);
    /// Returns a callback that answers the request with the result of a member change.
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
