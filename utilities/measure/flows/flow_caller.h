#pragma once

#include "measure/flows/fabric.h"
#include "measure/flows/flow.h"
#include "measure/trace/topology.h"

#include <QObject>
#include <QTimer>

#include <map>
#include <random>
#include <vector>

namespace ibisdyke::measure {

/// Results of the flows, as their callers see them.
struct flow_counts {
    /// Flows that were established.
    std::uint64_t flows = 0;
    /// Flows that were rejected, or that got no answer, before they were established.
    std::uint64_t refused = 0;
    std::vector<broken_flow> broken;

    friend bool operator==(const flow_counts&, const flow_counts&) = default;
};

/// Opens flows at the topology's rate and sends data packets on them until they end. A packet is retransmitted until
/// the upstream answers it.
class flow_caller : public QObject {
public:
    flow_caller(const topology& deployment, fabric& network, QObject* parent);

    void start();
    /// Opens no more flows; established flows continue.
    void stop_opening() { opens_new_flows_ = false; }
    /// Opens new flows at this multiple of the topology's rate from now on.
    void set_rate_factor(double it) { rate_factor_ = it; }

    flow_counts counts() const { return counts_; }

private:
    void tick();
    void open_flow(core::time_point now);
    void send_flood_packet();
    /// Retransmits, sends the next data packet, closes the flow or gives it up, as its state requires.
    void handle_due_action(flow& it, core::time_point now);
    void send(flow& it, packet_kind kind, core::time_point now);
    void handle(const flow_packet& packet);
    /// Counts the reset. Returns whether the flow has ended.
    bool handle_reset(const flow& it, core::time_point now);
    void establish(flow& it, const flow_packet& packet, core::time_point now);
    void break_flow(const flow& it, core::time_point now, const std::string& reason);

    const topology deployment_;
    fabric& fabric_;
    std::mt19937_64 random_;
    QTimer timer_;
    bool opens_new_flows_ = true;
    double rate_factor_ = 1;
    core::time_point last_tick_;
    double due_flows_ = 0;
    double due_flood_ = 0;
    std::uint64_t next_id_ = 0;
    std::map<flow_key, flow> flows_;
    /// Flows by the time of their next action. An entry is valid only if the flow's `next_action` is the same time.
    std::multimap<core::time_point, flow_key> due_actions_;
    flow_counts counts_;
};

} // namespace ibisdyke::measure
