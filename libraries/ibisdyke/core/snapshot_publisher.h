#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace ibisdyke::core {

/// Passes immutable snapshots of a Value from the control thread to the traffic threads.
///
/// A traffic thread loads the snapshot once per batch of packets or once per request. It does not load it for each
/// packet, because a load takes about as long as a routing decision.
template <typename Value>
class snapshot_publisher {
public:
    using snapshot = std::shared_ptr<const Value>;

    explicit snapshot_publisher(snapshot initial = nullptr)
        : current_(std::move(initial))
    {
    }

    /// Replaces the snapshot. Only the control thread may call this.
    void publish(snapshot next) { current_.store(std::move(next), std::memory_order_release); }

    /// Returns the latest snapshot, or null when none has been published yet. Callable from any thread.
    snapshot load() const { return current_.load(std::memory_order_acquire); }

private:
    std::atomic<snapshot> current_;
};

} // namespace ibisdyke::core
