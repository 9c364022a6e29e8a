#pragma once

#include "ibisdyke/transport/datagram_socket.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace ibisdyke::transport {

/// Whether other sockets may receive at the same address; the kernel then divides the datagrams among them by source.
enum class address_sharing : std::uint8_t {
    exclusive,
    shared,
};

/// A UDP socket that moves whole batches with recvmmsg and sendmmsg.
class udp_socket final : public datagram_socket {
public:
    /// Binds to an address; port 0 means any free port. Throws core::system_failure.
    static std::unique_ptr<udp_socket> create(const core::endpoint& address, address_sharing sharing);

    ~udp_socket() override;
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;
    udp_socket(udp_socket&&) = delete;
    udp_socket& operator=(udp_socket&&) = delete;

    core::endpoint local() const override { return local_; }
    int descriptor() const override { return socket_; }
    void also_wait_for(const datagram_socket& other) override { others_.push_back(other.descriptor()); }
    void wait(core::milliseconds timeout) override;
    void wake() override;
    std::size_t receive(datagram_batch& batch) override;
    std::size_t send(const std::vector<outgoing_datagram>& datagrams) override;

private:
    struct buffers;

    udp_socket();

    int socket_ = -1;
    int wake_up_ = -1;
    core::endpoint local_;
    /// Further descriptors that end a wait.
    std::vector<int> others_;
    /// Arguments of the system calls, kept to avoid setting them up anew for each batch.
    std::unique_ptr<buffers> buffers_;
};

} // namespace ibisdyke::transport
