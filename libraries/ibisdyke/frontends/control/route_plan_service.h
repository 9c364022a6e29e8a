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

/// What became of an operator's order.
enum class order_status : std::uint8_t {
    /// In force, or overtaken by a higher revision.
    accepted,
    /// This process does not lead; see leader().
    not_leader,
    /// Whether the order takes effect is not known; the operator sends it again.
    unknown,
};

/// The operators' route plans and orders about failure domains, at the leader. One plan is in progress at a time; of
/// those that wait, the one with the highest revision is next and the others are overtaken by it. So a burst of plans
/// costs a record for each round trip of the group, not for each plan. Lives on the control thread.
class route_plan_service : public QObject {
public:
    using order_callback = std::function<void(order_status)>;
    /// Gets the plan in force, or nothing when this process cannot be sure which one is.
    using read_callback = std::function<void(const std::optional<configuration::plan_document>&)>;

    /// The references must outlive the service.
    route_plan_service(replicated_control_group& group, observability::counter_sink& counters, QObject* parent);

    /// Puts a plan into force, unless one of its revision or a higher one is. `document` is the plan as the operator
    /// sent it. Throws core::invalid_input for a plan that is not allowed.
    void put(configuration::route_plan plan, std::string document, order_callback done);

    /// Reads the plan in force, confirmed by a majority.
    void read(read_callback done);

    void set_domain(const core::failure_domain& name, configuration::domain_state state, order_callback done);

    /// Whether this process leads.
    bool is_leader() const { return group_.is_leader(); }

    /// Where the leader takes the operators' orders, when known.
    std::optional<core::endpoint> leader() const { return group_.leader_admin(); }

private:
    struct waiting_plan {
        configuration::route_plan plan;
        std::string document;
        order_callback done;
    };

    /// The plan in progress, for the log.
    struct proposed_plan {
        std::uint64_t revision = 0;
        core::time_point since;
        std::size_t changed = 0;
        std::size_t removed = 0;
    };

    void propose_next();
    void log_accepted(const core::version& at);
    void on_result(const submit_result& result);
    void answer_overtaken();
    void fail_all(order_status status);
    configuration::command make_command(configuration::change what) const;

    replicated_control_group& group_;
    observability::counter_sink& counters_;
    std::vector<waiting_plan> waiting_;
    bool proposing_ = false;
    proposed_plan proposed_;
};

} // namespace ibisdyke::frontends
