#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/time.h"

#include <QByteArray>
#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QUrlQuery>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace ibisdyke::ctl {

/// A request of the administration API.
struct admin_request {
    std::string method = "GET";
    /// Path below /v1/, for example "profiles/gold".
    std::string path;
    QUrlQuery query;
    /// Empty for a request without a body.
    QJsonObject body;
};

/// An answer of the administration API.
struct admin_response {
    /// HTTP status, or 0 when no complete answer arrived.
    int status = 0;
    QByteArray content;
    /// The content as JSON; empty when the content is not a JSON object.
    QJsonObject json;
};

/// Sends requests to the leader of the control group. Follows the leader named in a 421 answer, tries the next control
/// process when one does not answer, answers 503 or names no leader, and repeats a request with the same command id
/// when its answer was lost.
class admin_client {
public:
    admin_client(std::vector<core::endpoint> processes, std::string token, core::milliseconds timeout);

    /// Sends a request and returns the final answer. Throws core::system_failure when no control process answers within
    /// the timeout.
    admin_response send(const admin_request& request);

private:
    /// Makes one attempt at one control process.
    admin_response send_once(const core::endpoint& target, const admin_request& request, core::milliseconds limit);
    void select_next_process();

    QNetworkAccessManager network_;
    std::vector<core::endpoint> processes_;
    std::string token_;
    core::milliseconds timeout_;
    /// The control process to which the next request goes.
    core::endpoint target_;
    std::size_t process_index_ = 0;
};

} // namespace ibisdyke::ctl
