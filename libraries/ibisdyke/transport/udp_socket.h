#pragma once

#include "ibisdyke/transport/datagram_socket.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace ibisdyke::transport {

/// Whether other sockets may bind to the same address.
enum class address_sharing : std::uint8_t {
    exclusive,
    /// The kernel distributes the datagrams among the sockets by a hash of their addresses and ports (SO_REUSEPORT).
    shared,
};

/// A UDP socket that receives and sends batches with recvmmsg and sendmmsg.
class udp_socket final : public datagram_socket {
public:
    /// Binds to `address`; port 0 selects any free port. Throws core::system_failure.
    static std::unique_ptr<udp_socket> create(const core::endpoint& address, address_sharing sharing);

    ~udp_socket() override;
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;
    udp_socket(udp_socket&&) = delete;
    udp_socket& operator=(udp_socket&&) = delete;

    core::endpoint local() const override { return local_; }
    int descriptor() const override { return socket_; }
    void also_wait_for(const datagram_socket& other) override { other_descriptors_.push_back(other.descriptor()); }
    void wait(core::milliseconds timeout) override;
    void wake() override;
    std::size_t receive(datagram_batch& batch) override;
    std::size_t send(const std::vector<outgoing_datagram>& datagrams) override;

private:
    struct buffers;

    udp_socket();

    int socket_ = -1;
    /// eventfd that ends a wait.
    int wake_event_ = -1;
    core::endpoint local_;
    /// Descriptors of other sockets that end a wait when they become readable.
    std::vector<int> other_descriptors_;
    /// Arguments of recvmmsg and sendmmsg, allocated once and reused for each batch.
    std::unique_ptr<buffers> buffers_;
};

} // namespace ibisdyke::transport
