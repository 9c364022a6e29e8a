#pragma once

#include "ibisdyke/configuration/route_plan.h"
#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/frontends/control/replicated_control_group.h"
#include "ibisdyke/observability/counter_sink.h"

#include <QObject>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ibisdyke::frontends {

/// The result of an operator's order (a route plan or a change of a failure domain's state).
enum class order_status : std::uint8_t {
    /// In effect, or superseded by a higher revision.
    accepted,
    /// This process is not the leader; see leader().
    not_leader,
    /// It is unknown whether the order takes effect. The operator should send it again.
    unknown,
};

/// Accepts the operators' route plans and orders about failure domains at the leader. One plan is proposed at a time.
/// The queued plan with the highest revision is next and supersedes the other queued plans, so that a burst of plans
/// costs one log record for each round trip of the group instead of one for each plan. Lives on the control thread.
class route_plan_service : public QObject {
public:
    using order_callback = std::function<void(order_status)>;
    /// Receives the current plan, or nothing if a majority did not confirm the read.
    using read_callback = std::function<void(const std::optional<configuration::plan_document>&)>;

    /// The references must outlive the service.
    route_plan_service(replicated_control_group& group, observability::counter_sink& counters, QObject* parent);

    /// Makes `plan` the current plan, unless the current plan has the same or a higher revision. `document` is the text
    /// that the operator sent. Throws core::invalid_input if the plan is invalid.
    void put(configuration::route_plan plan, std::string document, order_callback done);

    /// Reads the current plan after a majority has confirmed that this process is the leader.
    void read(read_callback done);

    void set_domain(const core::failure_domain& name, configuration::domain_state state, order_callback done);

    /// Whether this process is the leader.
    bool is_leader() const { return group_.is_leader(); }

    /// The endpoint where the leader accepts operators' orders, if it is known.
    std::optional<core::endpoint> leader() const { return group_.leader_admin(); }

private:
    struct queued_plan {
        configuration::route_plan plan;
        std::string document;
        order_callback done;
    };

    /// The proposed plan, for log lines.
    struct proposed_plan {
        std::uint64_t revision = 0;
        core::time_point proposed_at;
        std::size_t changed_routes = 0;
        std::size_t removed_routes = 0;
    };

    void propose_next();
    void log_accepted(const core::version& at);
    void on_result(const submit_result& result);
    /// Answers the queued plans that are in effect or superseded.
    void answer_completed();
    /// Answers all queued plans with `status`.
    void abandon_all(order_status status);
    configuration::command make_command(configuration::change what) const;

    replicated_control_group& group_;
    observability::counter_sink& counters_;
    /// All plans without an answer, including the proposed one.
    std::vector<queued_plan> queued_;
    bool proposal_in_progress_ = false;
    proposed_plan proposed_;
};

} // namespace ibisdyke::frontends
