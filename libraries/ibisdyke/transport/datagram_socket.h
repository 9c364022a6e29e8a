#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/transport/datagram_batch.h"

#include <cstddef>
#include <vector>

namespace ibisdyke::transport {

/// Sends and receives batches of UDP datagrams. Must be used by a single thread, except for wake().
class datagram_socket {
public:
    virtual ~datagram_socket() = default;

    /// Returns the local address of the socket.
    virtual core::endpoint local() const = 0;

    /// Returns the file descriptor of the socket. It becomes readable when datagrams arrive.
    virtual int descriptor() const = 0;

    /// Makes wait() also return when datagrams have arrived at `other`, which must outlive this socket.
    virtual void also_wait_for(const datagram_socket& other) = 0;

    /// Blocks until datagrams have arrived, wake() was called or `timeout` has passed.
    virtual void wait(core::milliseconds timeout) = 0;

    /// Makes the wait() in progress return, or the next wait() if none is in progress. Thread-safe.
    virtual void wake() = 0;

    /// Receives datagrams that have arrived, at most as many as fit into `batch`, without blocking. Returns their
    /// number.
    virtual std::size_t receive(datagram_batch& batch) = 0;

    /// Sends without blocking. Returns the number of datagrams that the kernel refused, for example because the
    /// socket's send buffer was full.
    virtual std::size_t send(const std::vector<outgoing_datagram>& datagrams) = 0;
};

} // namespace ibisdyke::transport
