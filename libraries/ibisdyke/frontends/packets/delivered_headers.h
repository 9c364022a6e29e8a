#pragma once

#include "ibisdyke/routing/messages.h"

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace ibisdyke::frontends {

/// The headers of the packets that were handed to the upstream lately, by tag: a packet that the upstream disowns goes
/// on along the chain where it came from. Used by one thread.
class delivered_headers {
public:
    /// An upstream returns a packet within a few milliseconds; this many pass in 0.1 s at the highest rates of one
    /// host.
    static constexpr std::size_t capacity = 1024;

    /// Returns the tag of the packet with this header. Never 0.
    std::uint32_t add(routing::packet_header header)
    {
        if (++last_ == 0)
            ++last_;
        entries_[last_ % capacity] = {last_, std::move(header)};
        return last_;
    }

    /// Returns the header of a packet, or null when the tag is unknown or too old.
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
    std::uint32_t last_ = 0;
};

} // namespace ibisdyke::frontends
