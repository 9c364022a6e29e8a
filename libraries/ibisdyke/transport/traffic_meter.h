#pragma once

#include <atomic>
#include <cstdint>

namespace ibisdyke::transport {

/// Counts the bytes that connections send and receive. May be shared by connections on different threads.
class traffic_meter {
public:
    void add_sent(std::uint64_t n) { sent_bytes_.fetch_add(n, std::memory_order_relaxed); }
    void add_received(std::uint64_t n) { received_bytes_.fetch_add(n, std::memory_order_relaxed); }

    std::uint64_t sent_bytes() const { return sent_bytes_.load(std::memory_order_relaxed); }
    std::uint64_t received_bytes() const { return received_bytes_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> sent_bytes_{0};
    std::atomic<std::uint64_t> received_bytes_{0};
};

} // namespace ibisdyke::transport
