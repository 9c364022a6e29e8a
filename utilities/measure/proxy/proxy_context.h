#pragma once

#include "measure/proxy/link_table.h"
#include "measure/support/delay_queue.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace ibisdyke::measure {

/// State that the relays of a proxy share. Lives on the proxy's thread.
struct proxy_context {
    link_table links;
    /// Process names by source address.
    std::map<std::uint32_t, std::string> names;
    /// Bytes on control connections, by the process that opened the connection.
    std::map<std::string, std::uint64_t> control_bytes;
    /// Packets that were sent to an agent of another service.
    std::uint64_t misdirected_packets = 0;
    std::mt19937_64 random;
    delay_queue* delays = nullptr;

    /// Returns true with the given probability.
    bool draw(double probability) { return probability > 0 && std::bernoulli_distribution(probability)(random); }

    /// Returns the name of the process with this source address, or an empty string for operators.
    std::string name_of(std::uint32_t address) const
    {
        const auto found = names.find(address);
        return found == names.end() ? std::string() : found->second;
    }
};

} // namespace ibisdyke::measure
