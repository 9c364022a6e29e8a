#include "ibisdyke/frontends/control/group_membership_manager.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/observability/log.h"
#include "ibisdyke/observability/malformed_message.h"
#include "ibisdyke/replication/wire/codec.h"
#include "ibisdyke/transport/clock.h"

#include <QPointer>

#include <algorithm>
#include <utility>

namespace ibisdyke::frontends {

namespace {

constexpr const char* join_path = "/replication/join";
constexpr core::milliseconds join_timeout{500};

/// The shortest time from one join request to the next.
constexpr core::milliseconds join_interval{400};

} // namespace

group_membership_manager::group_membership_manager(replicated_control_group& group, replication::member self,
    std::vector<core::endpoint> seeds, transport::rpc_router& router, observability::counter_sink& counters,
    std::uint32_t source_address, transport::traffic_meter* meter, const replication::group_limits& limits,
    QObject* parent)
    : QObject(parent)
    , group_(group)
    , self_(std::move(self))
    , seeds_(std::move(seeds))
    , counters_(counters)
    , source_address_(source_address)
    , meter_(meter)
    , limits_(limits)
    , last_join_request_(transport::read_clock())
{
    router.add_call(join_path, [self = QPointer<group_membership_manager>(this)](const auto& body, const auto& answer) {
        if (self)
            self->on_join_request(body, answer);
    });
    connect(&timer_, &QTimer::timeout, this, &group_membership_manager::on_tick);
    timer_.start(replication::group_check_period);
}

void group_membership_manager::on_join_request(
    const std::string& body, const std::shared_ptr<transport::rpc_responder>& answer)
{
    try {
        const auto joining = replication::wire::decode_member(body);
        if (group_.is_leader())
            add_member(joining);
        answer->respond(replication::wire::encode(replication::join_answer{group_.leader()}));
    } catch (const core::malformed_message& e) {
        observability::note_malformed(counters_, "join_requests_malformed", e);
        answer->refuse();
    }
}

void group_membership_manager::add_member(const replication::member& joining)
{
    if (!replication::may_join(member_statuses(group_.node(), transport::read_clock()), joining, limits_))
        return;
    group_.add_member(joining, [joining](replication::proposal_status status) {
        if (status == replication::proposal_status::appended)
            observability::write_log(observability::log_level::info, "member_added",
                {{"member", joining.id.value()}, {"peer", to_string(joining.peer_endpoint)}});
    });
}

void group_membership_manager::on_tick()
{
    if (group_.is_leader())
        remove_silent_member();
    else if (!group_.has_recent_leader(replication::leaderless_join_delay))
        send_join_request();
}

void group_membership_manager::remove_silent_member()
{
    if (removal_in_progress_)
        return;
    const auto silent = replication::member_to_remove(member_statuses(group_.node(), transport::read_clock()), limits_);
    if (!silent)
        return;
    removal_in_progress_ = true;
    group_.remove_member(*silent, [self = QPointer<group_membership_manager>(this), id = *silent](auto status) {
        if (!self)
            return;
        self->removal_in_progress_ = false;
        if (status != replication::proposal_status::appended)
            return;
        self->counters_.add("group_members_removed", 1);
        observability::write_log(
            observability::log_level::warning, "member_removed", {{"member", id.value()}, {"reason", "silent"}});
    });
}

std::vector<core::endpoint> group_membership_manager::join_targets() const
{
    auto result = seeds_;
    for (const auto& [id, endpoint] : group_.members())
        result.push_back(endpoint);
    std::erase(result, self_.peer_endpoint);
    return result;
}

void group_membership_manager::send_join_request()
{
    const auto now = transport::read_clock();
    if (join_in_progress_ || now - last_join_request_ < join_interval)
        return;
    const auto targets = join_targets();
    if (targets.empty())
        return;
    const auto target =
        std::exchange(suggested_leader_, std::nullopt).value_or(targets[next_target_++ % targets.size()]);
    if (target == self_.peer_endpoint)
        return;
    last_join_request_ = now;
    join_in_progress_ = true;
    join_client_ =
        std::make_unique<transport::http2_client>(target, source_address_, transport::http2_limits{}, meter_, nullptr);
    counters_.add("join_requests_sent", 1);
    transport::rpc_client(*join_client_)
        .call(join_path, replication::wire::encode(self_), join_timeout,
            [self = QPointer<group_membership_manager>(this)](const auto& result) {
                if (self)
                    self->on_join_answer(result);
            });
}

void group_membership_manager::on_join_answer(const transport::rpc_result& result)
{
    join_in_progress_ = false;
    if (result.status != transport::rpc_status::ok)
        return;
    try {
        suggested_leader_ = replication::wire::decode_join_answer(result.body).leader;
    } catch (const core::malformed_message& e) {
        observability::note_malformed(counters_, "join_answers_malformed", e);
    }
}

} // namespace ibisdyke::frontends
