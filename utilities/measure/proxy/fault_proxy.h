#pragma once

#include "measure/proxy/connection_relay.h"
#include "measure/proxy/datagram_relay.h"

#include <memory>
#include <vector>

namespace ibisdyke::measure {

/// Relays all traffic between the processes of a run, with the faults of the trace. Lives on a traffic thread.
class fault_proxy {
public:
    /// `names` maps source addresses to process names.
    fault_proxy(const std::vector<route>& routes, std::map<std::uint32_t, std::string> names, link_table links,
        std::uint64_t seed);

    /// Accepts or refuses connections to a process. See connection_relay.
    void open(const std::string& target);
    void close(const std::string& target);

    /// Changes the links, and forwards the bytes that were held back on links that are no longer cut.
    void change(const std::function<void(link_table&)>& change);

    /// Bytes on control connections, by the process that opened the connection.
    std::map<std::string, std::uint64_t> control_bytes() const { return context_.control_bytes; }

    /// Packets that were sent to an agent of another service, including those that the agent dropped.
    std::uint64_t misdirected_packets() const { return context_.misdirected_packets; }

private:
    proxy_context context_;
    delay_queue delays_;
    std::vector<connection_relay*> relays_;
    /// Owns the relays. Declared last, because connections still use the members above while their relay is destroyed.
    std::unique_ptr<QObject> parent_ = std::make_unique<QObject>();
};

} // namespace ibisdyke::measure
