#pragma once

#include "ibisdyke/core/endpoint.h"

#include <cstddef>
#include <initializer_list>
#include <string_view>
#include <vector>

namespace ibisdyke::transport {

/// Size of the largest datagram that can be received. Fits an IP packet of an Ethernet jumbo frame plus a header.
constexpr std::size_t max_datagram_bytes = 10'240;

/// A datagram to send. The bytes must stay valid until send() returns.
struct outgoing_datagram {
    std::string_view bytes;
    core::endpoint destination;
};

/// Buffers for a batch of received datagrams. Each buffer has headroom in front of the datagram, so that a header can
/// be prepended to a received packet without copying the packet.
class datagram_batch {
public:
    /// Headroom in front of each datagram.
    static constexpr std::size_t headroom_bytes = 1024;

    explicit datagram_batch(std::size_t capacity);

    std::size_t capacity() const { return received_.size(); }

    /// Returns the number of datagrams in the batch, as received by the last datagram_socket::receive().
    std::size_t size() const { return size_; }

    std::string_view bytes(std::size_t i) const { return {buffer(i), received_[i].size}; }
    const core::endpoint& source(std::size_t i) const { return received_[i].source; }

    /// Drops the first `skip` bytes of datagram `i`, writes `parts` directly in front of the remaining bytes and
    /// returns the resulting packet. Throws std::length_error when `parts` do not fit into the headroom and the skipped
    /// bytes.
    std::string_view prepend(std::size_t i, std::size_t skip, std::initializer_list<std::string_view> parts);

    /// Called by sockets. Returns the buffer for datagram `i`, which has a size of max_datagram_bytes.
    char* buffer(std::size_t i) { return storage_.data() + i * stride_bytes + headroom_bytes; }

    /// Called by sockets after receiving. Records the number of datagrams in the batch.
    void set_size(std::size_t n) { size_ = n; }
    /// Called by sockets after receiving. Records the size and the source of datagram `i`.
    void set_received(std::size_t i, std::size_t size, const core::endpoint& source) { received_[i] = {size, source}; }

private:
    struct received_datagram {
        std::size_t size = 0;
        core::endpoint source;
    };

    /// Distance between two buffers. Not a multiple of 4,096, which would map the starts of all buffers to the same few
    /// cache sets.
    static constexpr std::size_t stride_bytes = headroom_bytes + max_datagram_bytes + 64;

    const char* buffer(std::size_t i) const { return storage_.data() + i * stride_bytes + headroom_bytes; }

    std::vector<char> storage_;
    std::vector<received_datagram> received_;
    std::size_t size_ = 0;
};

} // namespace ibisdyke::transport
