#include "measure/flows/flow_caller.h"

#include "measure/deployment/address_plan.h"
#include "measure/support/clock.h"

#include <algorithm>

namespace ibisdyke::measure {

namespace {

constexpr core::milliseconds tick_interval{5};

// As in TCP (RFC 6298): a SYN is retransmitted after one second, packets of an established flow sooner.
constexpr core::milliseconds open_retransmit{1000};
constexpr core::milliseconds data_retransmit{250};
constexpr core::milliseconds max_retransmit{1000};
constexpr core::milliseconds close_give_up{3000};

// Callers have addresses in 10.128.0.0/9, services in 10.0.0.0/9.
constexpr std::uint32_t first_caller_address = (10U << 24U) | (128U << 16U);
constexpr std::uint64_t ports_per_address = 60'000;
constexpr std::uint64_t first_port = 1024;

// SYNs of the flood have source addresses that no flow uses, so that answers to them match no flow.
constexpr std::uint32_t first_flood_address = (10U << 24U) | (192U << 16U);
constexpr std::uint32_t flood_addresses = 1U << 20U;

std::vector<double> weights(const topology& it)
{
    std::vector<double> result;
    for (const auto& service : it.services)
        result.push_back(service.flow_weight);
    return result;
}

} // namespace

flow_caller::flow_caller(const topology& deployment, fabric& network, QObject* parent)
    : QObject(parent)
    , deployment_(deployment)
    , fabric_(network)
    , random_(deployment.seed)
    , timer_(this)
{
    fabric_.on_packet([this](const auto& it) { handle(it); });
    connect(&timer_, &QTimer::timeout, this, &flow_caller::tick);
}

void flow_caller::start()
{
    last_tick_ = read_clock();
    timer_.start(tick_interval);
}

void flow_caller::tick()
{
    const auto now = read_clock();
    const auto elapsed_s = std::chrono::duration<double>(now - last_tick_).count();
    due_flows_ += elapsed_s * deployment_.flows_per_s * rate_factor_;
    due_flood_ += elapsed_s * deployment_.flood_per_s;
    last_tick_ = now;
    for (; due_flood_ >= 1; due_flood_ -= 1) {
        if (opens_new_flows_)
            send_flood_packet();
    }
    for (; due_flows_ >= 1; due_flows_ -= 1) {
        if (opens_new_flows_)
            open_flow(now);
    }
    while (!due_actions_.empty() && due_actions_.begin()->first <= now) {
        const auto key = due_actions_.begin()->second;
        const auto due = due_actions_.begin()->first;
        due_actions_.erase(due_actions_.begin());
        const auto found = flows_.find(key);
        // A postponed action leaves an outdated entry at its earlier time.
        if (found != flows_.end() && found->second.next_action == due)
            handle_due_action(found->second, now);
    }
}

void flow_caller::open_flow(core::time_point now)
{
    const auto service_weights = weights(deployment_);
    std::discrete_distribution<std::size_t> pick(service_weights.begin(), service_weights.end());
    flow it;
    it.service = pick(random_);
    const auto id = next_id_++;
    it.key.caller = {first_caller_address + static_cast<std::uint32_t>(id / ports_per_address),
        static_cast<std::uint16_t>(first_port + id % ports_per_address)};
    it.key.service = address_plan::service_address(it.service);
    it.key.protocol =
        std::bernoulli_distribution(deployment_.udp_share)(random_) ? flow_protocol::udp : flow_protocol::tcp;
    it.opened_at = now;
    it.last_answer = now;
    // A random length keeps the flows from ending, and being replaced, all at the same time.
    const std::chrono::duration<double> length(
        deployment_.flow_s * std::uniform_real_distribution<double>(0.5, 1.5)(random_));
    it.close_at = now + std::chrono::duration_cast<std::chrono::nanoseconds>(length);
    it.retransmit_after = open_retransmit;
    auto& stored = flows_.emplace(it.key, it).first->second;
    send(stored, packet_kind::open, now);
}

void flow_caller::send_flood_packet()
{
    flow_key key;
    key.caller = {first_flood_address + static_cast<std::uint32_t>(random_() % flood_addresses),
        static_cast<std::uint16_t>(first_port + random_() % ports_per_address)};
    key.service = address_plan::service_address(0);
    fabric_.send({key, packet_kind::open, 0, 0, deployment_.services.front().name});
}

void flow_caller::handle_due_action(flow& it, core::time_point now)
{
    const auto silence = it.unanswered ? now - it.last_answer : std::chrono::nanoseconds{0};
    if (it.state == flow_state::closing && silence >= close_give_up) {
        flows_.erase(it.key);
        return;
    }
    if (silence >= deployment_.flow_give_up) {
        if (it.state == flow_state::opening)
            ++counts_.refused;
        else
            break_flow(it, now, "no answer");
        flows_.erase(it.key);
        return;
    }
    if (it.state == flow_state::opening) {
        it.retransmit_after *= 2;
        send(it, packet_kind::open, now);
        return;
    }
    if (it.unanswered)
        it.retransmit_after = std::min(it.retransmit_after * 2, max_retransmit);
    else
        it.last_answer = now;
    if (it.state == flow_state::established && !it.unanswered && now >= it.close_at) {
        it.state = flow_state::closing;
        it.retransmit_after = data_retransmit;
    }
    if (it.state == flow_state::established && !it.unanswered) {
        ++it.sequence;
        it.retransmit_after = data_retransmit;
    }
    send(it, it.state == flow_state::closing ? packet_kind::close : packet_kind::data, now);
}

void flow_caller::send(flow& it, packet_kind kind, core::time_point now)
{
    it.unanswered = true;
    it.next_action = now + it.retransmit_after;
    due_actions_.emplace(it.next_action, it.key);
    fabric_.send({it.key, kind, it.sequence, it.cookie, deployment_.services[it.service].name});
}

void flow_caller::handle(const flow_packet& packet)
{
    const auto found = flows_.find(packet.key);
    if (found == flows_.end())
        return;
    auto& it = found->second;
    const auto now = read_clock();
    switch (packet.kind) {
    case packet_kind::reset:
        if (handle_reset(it, now))
            flows_.erase(found);
        return;
    case packet_kind::open_answer:
        if (it.state == flow_state::opening)
            establish(it, packet, now);
        return;
    case packet_kind::close_answer:
        if (it.state == flow_state::closing)
            flows_.erase(found);
        return;
    case packet_kind::data_answer:
        break;
    case packet_kind::open:
    case packet_kind::data:
    case packet_kind::close:
        return;
    }
    if (it.state != flow_state::established || packet.sequence != it.sequence || !it.unanswered)
        return;
    it.unanswered = false;
    it.last_answer = now;
    it.next_action = std::min(it.close_at, now + deployment_.keepalive);
    due_actions_.emplace(it.next_action, it.key);
}

bool flow_caller::handle_reset(const flow& it, core::time_point now)
{
    if (it.state == flow_state::opening)
        ++counts_.refused;
    if (it.state == flow_state::established)
        break_flow(it, now, "reset");
    return true;
}

void flow_caller::establish(flow& it, const flow_packet& packet, core::time_point now)
{
    ++counts_.flows;
    it.state = flow_state::established;
    it.upstream = packet.name;
    it.cookie = packet.cookie;
    it.unanswered = false;
    it.last_answer = now;
    it.next_action = now;
    due_actions_.emplace(now, it.key);
}

void flow_caller::break_flow(const flow& it, core::time_point now, const std::string& reason)
{
    const auto* const protocol = it.key.protocol == flow_protocol::udp ? " (UDP)" : " (TCP)";
    counts_.broken.push_back(
        {deployment_.services[it.service].name, it.upstream, it.opened_at, now, reason + std::string(protocol)});
}

} // namespace ibisdyke::measure
