#pragma once

#include "measure/experiments/drain_latency_meter.h"
#include "measure/experiments/observer.h"
#include "measure/trace/trace_event.h"

#include <QObject>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace ibisdyke::measure {

/// Sends the operators' commands of a run and counts their outcomes. Lives on the main thread.
class operator_commands : public QObject {
public:
    operator_commands(running_system& system, observer& system_observer, QObject* parent);

    /// Creates profiles, services and the callers' token. Throws core::system_failure when a command is not accepted in
    /// time.
    void set_up();

    /// Takes a domain or an upstream out of service or returns it. `accepted` is called with the time at which the
    /// command was accepted.
    void set_domain(const std::string& name, bool in, std::function<void(core::time_point)> accepted);
    void set_draining(const std::string& upstream, bool draining, std::function<void(core::time_point)> accepted);

    /// Changes a profile as described by an event with verb::apply. See trace_event.
    void apply(const trace_event& it);

    /// Reads all profiles and returns the number of profiles whose revision is lower than the last accepted revision.
    std::uint64_t count_lost_revisions();

    std::uint64_t accepted() const { return accepted_; }
    std::uint64_t conflicts() const { return conflicts_; }
    /// Commands that were rejected or got no answer.
    std::uint64_t failed() const { return failed_; }
    /// Commands that have no outcome yet.
    std::size_t waiting() const { return waiting_; }
    /// The newest version of an accepted command.
    const core::version& newest() const { return newest_; }

private:
    void put(const std::string& path, QJsonObject body, std::function<void(const operator_answer&)> done);
    void wait_for_token();
    void put_and_wait(const std::string& path, const QJsonObject& body);
    void count_outcome(const operator_answer& answer, const std::function<void(core::time_point)>& accepted);
    std::string next_command();
    QJsonObject profile_document(const std::string& name, const QJsonObject& wanted);

    running_system& system_;
    observer& observer_;
    std::map<std::string, QJsonObject> documents_;
    /// Latest accepted revisions by profile.
    std::map<std::string, std::uint64_t> revisions_;
    /// Request bodies by command id, so that a resend has the same body.
    std::map<std::string, QJsonObject> bodies_;
    std::uint64_t next_command_ = 0;
    std::uint64_t accepted_ = 0;
    std::uint64_t conflicts_ = 0;
    std::uint64_t failed_ = 0;
    std::size_t waiting_ = 0;
    core::version newest_;
};

} // namespace ibisdyke::measure
