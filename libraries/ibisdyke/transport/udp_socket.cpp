#include "ibisdyke/transport/udp_socket.h"

#include "ibisdyke/core/error.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ibisdyke::transport {

namespace {

/// Largest number of datagrams in one system call.
constexpr std::size_t max_batch_datagrams = 64;

/// The kernel's default of about 200 kB holds less than 1 ms of small packets at full rate.
constexpr int socket_buffer_bytes = 4 * 1024 * 1024;

sockaddr_in to_sockaddr(const core::endpoint& it)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(it.address);
    result.sin_port = htons(it.port);
    return result;
}

core::endpoint from_sockaddr(const sockaddr_in& it)
{
    return {ntohl(it.sin_addr.s_addr), ntohs(it.sin_port)};
}

[[noreturn]] void throw_system_failure(const std::string& message)
{
    throw core::system_failure(message + ": " + std::strerror(errno));
}

void set_socket_option(int socket, int option, int value)
{
    // Errors are ignored. The kernel caps the buffer sizes, and the socket also works with smaller buffers.
    setsockopt(socket, SOL_SOCKET, option, &value, sizeof(value));
}

} // namespace

struct udp_socket::buffers {
    std::array<mmsghdr, max_batch_datagrams> messages{};
    std::array<iovec, max_batch_datagrams> vectors{};
    std::array<sockaddr_in, max_batch_datagrams> addresses{};
};

udp_socket::udp_socket()
    : buffers_(std::make_unique<buffers>())
{
}

std::unique_ptr<udp_socket> udp_socket::create(const core::endpoint& address, address_sharing sharing)
{
    std::unique_ptr<udp_socket> result(new udp_socket);
    result->socket_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    result->wake_event_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (result->socket_ < 0 || result->wake_event_ < 0)
        throw_system_failure("cannot open a UDP socket");
    set_socket_option(result->socket_, SO_RCVBUF, socket_buffer_bytes);
    set_socket_option(result->socket_, SO_SNDBUF, socket_buffer_bytes);
    if (sharing == address_sharing::shared)
        set_socket_option(result->socket_, SO_REUSEPORT, 1);
    auto native = to_sockaddr(address);
    if (bind(result->socket_, reinterpret_cast<const sockaddr*>(&native), sizeof(native)) != 0)
        throw_system_failure("cannot bind to " + to_string(address));
    socklen_t size = sizeof(native);
    if (getsockname(result->socket_, reinterpret_cast<sockaddr*>(&native), &size) != 0)
        throw_system_failure("cannot read the address of a UDP socket");
    result->local_ = from_sockaddr(native);
    return result;
}

udp_socket::~udp_socket()
{
    if (socket_ >= 0)
        close(socket_);
    if (wake_event_ >= 0)
        close(wake_event_);
}

void udp_socket::wait(core::milliseconds timeout)
{
    std::vector<pollfd> watched{pollfd{wake_event_, POLLIN, 0}, pollfd{socket_, POLLIN, 0}};
    for (const auto it : other_descriptors_)
        watched.push_back({it, POLLIN, 0});
    if (poll(watched.data(), watched.size(), static_cast<int>(timeout.count())) <= 0)
        return;
    std::uint64_t count = 0;
    if (watched[0].revents != 0 && read(wake_event_, &count, sizeof(count)) < 0 && errno != EAGAIN)
        throw_system_failure("cannot read an event");
}

void udp_socket::wake()
{
    const std::uint64_t one = 1;
    // The write fails only when the event's counter is at its maximum; the thread is then about to wake anyway.
    [[maybe_unused]] const auto written = write(wake_event_, &one, sizeof(one));
}

std::size_t udp_socket::receive(datagram_batch& batch)
{
    const auto n = std::min(batch.capacity(), max_batch_datagrams);
    for (std::size_t i = 0; i < n; ++i) {
        buffers_->vectors[i] = {batch.buffer(i), max_datagram_bytes};
        auto& it = buffers_->messages[i].msg_hdr;
        it = {};
        it.msg_name = &buffers_->addresses[i];
        it.msg_namelen = sizeof(sockaddr_in);
        it.msg_iov = &buffers_->vectors[i];
        it.msg_iovlen = 1;
    }
    const int received = recvmmsg(socket_, buffers_->messages.data(), static_cast<unsigned>(n), MSG_DONTWAIT, nullptr);
    batch.set_size(received < 0 ? 0 : static_cast<std::size_t>(received));
    for (std::size_t i = 0; i < batch.size(); ++i) {
        const auto& it = buffers_->messages[i];
        // A truncated datagram is useless. It is recorded as empty, because all receivers drop empty datagrams.
        const bool complete = (it.msg_hdr.msg_flags & MSG_TRUNC) == 0;
        batch.set_received(i, complete ? it.msg_len : 0, from_sockaddr(buffers_->addresses[i]));
    }
    return batch.size();
}

std::size_t udp_socket::send(const std::vector<outgoing_datagram>& datagrams)
{
    std::size_t refused = 0;
    std::size_t begin = 0;
    while (begin < datagrams.size()) {
        const auto n = std::min(datagrams.size() - begin, max_batch_datagrams);
        for (std::size_t i = 0; i < n; ++i) {
            const auto& datagram = datagrams[begin + i];
            buffers_->addresses[i] = to_sockaddr(datagram.destination);
            // The const_cast is safe, because sendmmsg does not write to the bytes.
            buffers_->vectors[i] = {const_cast<char*>(datagram.bytes.data()), datagram.bytes.size()}; // NOLINT
            auto& it = buffers_->messages[i].msg_hdr;
            it = {};
            it.msg_name = &buffers_->addresses[i];
            it.msg_namelen = sizeof(sockaddr_in);
            it.msg_iov = &buffers_->vectors[i];
            it.msg_iovlen = 1;
        }
        const int sent = sendmmsg(socket_, buffers_->messages.data(), static_cast<unsigned>(n), MSG_DONTWAIT);
        if (sent > 0) {
            begin += static_cast<std::size_t>(sent);
        } else {
            // sendmmsg fails only if the first datagram cannot be sent. The others may still be sent.
            ++refused;
            ++begin;
        }
    }
    return refused;
}

} // namespace ibisdyke::transport
