#pragma once

#include "fake_control_group.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/frontends/control/lease_manager.h"
#include "ibisdyke/frontends/discovery/subscription_server.h"
#include "ibisdyke/observability/counter_registry.h"
#include "ibisdyke/transport/http2_server.h"
#include "ibisdyke/transport/rpc_router.h"

#include <QCoreApplication>
#include <QElapsedTimer>

#include <memory>
#include <optional>
#include <string>

namespace ibisdyke::frontends {

/// Runs several control processes in one event loop on loopback, on top of a fake replicated log.
class control_fixture {
public:
    struct control_process {
        control_process(fake_control_group::shared_log& log, QObject* parent)
            : group(log)
            , server(
                  transport::http2_server::create(core::endpoint::create("127.0.0.1:0"), {}, router, nullptr, parent))
            , leases(std::make_unique<lease_manager>(
                  router, group, counters, 0, nullptr, &decode_usage, membership::lease_limits{}, nullptr))
            , subscriptions(std::make_unique<subscription_server>(
                  router, counters, [this] { return leader_contact_age(); }, dissemination::default_max_subscribers,
                  nullptr))
        {
            subscriptions->publish(group.state());
            group.on_state_change([this](const auto& state) {
                if (subscriptions)
                    subscriptions->publish(state);
            });
        }

        /// The time since the last leader contact, or nothing if this process knows no leader.
        std::optional<core::milliseconds> leader_contact_age() const
        {
            if (group.is_leader() || group.leader())
                return core::milliseconds{0};
            return std::nullopt;
        }

        /// Stops answering but keeps all connections open, like a paused process.
        void pause()
        {
            router.add_call("/membership/heartbeat", [](const auto&, const auto&) {});
            router.add_call("/membership/forwarded-heartbeat", [](const auto&, const auto&) {});
            router.add_call("/membership/lease-batch", [](const auto&, const auto&) {});
            router.add_subscription("/dissemination/subscribe", [](const auto&, const auto&) {});
            leases.reset();
            subscriptions.reset();
        }

        /// Loses leader contact and gets no more changes, like a process on the minority side of a partition.
        void partition()
        {
            group.is_partitioned_ = true;
            group.is_leader_ = false;
            group.leader_.reset();
        }

        /// Stops listening and closes all connections.
        void kill()
        {
            pause();
            delete std::exchange(server, nullptr);
        }

        core::endpoint address() const { return server->address(); }
        std::uint64_t count(const char* name) { return counters.find(name).value(); }

        observability::counter_registry counters;
        transport::rpc_router router;
        fake_control_group group;
        transport::http2_server* server;
        std::unique_ptr<lease_manager> leases;
        std::unique_ptr<subscription_server> subscriptions;
    };

    /// Decodes the usage that tests put into a heartbeat: the number of flows of one agent in decimal.
    static accounting::usage_report decode_usage(std::string_view bytes)
    {
        if (bytes == "malformed")
            throw core::malformed_message("no usage report");
        accounting::usage_report result;
        result.source = core::incarnation(1);
        auto& counters = result.usage[{core::neighbour("riechwerk"), "dispatch", 1}];
        counters.flows = std::stoull(std::string(bytes));
        return result;
    }

    control_fixture()
    {
        log_.state.applied = {1, 100};
        log_.state.configuration.services.emplace(
            core::service_id(1), configuration::service{core::service_id(1), "dispatch", "standard", {}});
    }

    /// Starts a control process. The first process is the leader.
    control_process& add_control()
    {
        controls_.push_back(std::make_unique<control_process>(log_, &application_));
        auto& added = *controls_.back();
        if (controls_.size() == 1)
            added.group.is_leader_ = true;
        added.group.leader_ = controls_.front()->address();
        return added;
    }

    std::vector<core::endpoint> addresses() const
    {
        std::vector<core::endpoint> result;
        for (const auto& it : controls_)
            result.push_back(it->address());
        return result;
    }

    template <typename Condition>
    bool wait_for(Condition condition, int limit_ms = 6000)
    {
        // processEvents() with a time limit returns at once when there are no events, so the loop would spin.
        QTimer wake_up_timer;
        wake_up_timer.start(10);
        QElapsedTimer timer;
        timer.start();
        while (!condition() && timer.elapsed() < limit_ms)
            QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
        return condition();
    }

    void run_for(int milliseconds)
    {
        wait_for([] { return false; }, milliseconds);
    }

    int argc_ = 0;
    QCoreApplication application_{argc_, nullptr};
    fake_control_group::shared_log log_;
    std::vector<std::unique_ptr<control_process>> controls_;
    observability::counter_registry counters_;
};

} // namespace ibisdyke::frontends
