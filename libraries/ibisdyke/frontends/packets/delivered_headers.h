#pragma once

#include "ibisdyke/routing/messages.h"

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace ibisdyke::frontends {

/// The headers of the packets that were recently delivered to the upstream, by tag. When the upstream returns a packet,
/// the agent needs the header to forward the packet along its chain. Not thread-safe.
class delivered_headers {
public:
    /// An upstream returns a packet within a few milliseconds. At the highest packet rate of a host, this many packets
    /// are delivered in 0.1 s.
    static constexpr std::size_t capacity = 1024;

    /// Stores the header of a delivered packet and returns the tag of the packet, which is never 0.
    std::uint32_t add(routing::packet_header header)
    {
        if (++last_tag_ == 0)
            ++last_tag_;
        entries_[last_tag_ % capacity] = {last_tag_, std::move(header)};
        return last_tag_;
    }

    /// Returns the header of the packet with this tag, or null if the tag is unknown or its header was overwritten.
    const routing::packet_header* find(std::uint32_t tag) const
    {
        const auto& it = entries_[tag % capacity];
        return tag != 0 && it.tag == tag ? &it.header : nullptr;
    }

private:
    struct entry {
        std::uint32_t tag = 0;
        routing::packet_header header;
    };

    std::vector<entry> entries_ = std::vector<entry>(capacity);
    std::uint32_t last_tag_ = 0;
};

} // namespace ibisdyke::frontends
