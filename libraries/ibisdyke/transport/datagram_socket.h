#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/transport/datagram_batch.h"

#include <cstddef>
#include <vector>

namespace ibisdyke::transport {

/// Sends and receives batches of UDP datagrams. Used by one thread, except for wake().
class datagram_socket {
public:
    virtual ~datagram_socket() = default;

    /// Returns the address that datagrams are received at.
    virtual core::endpoint local() const = 0;

    /// Returns the file descriptor that becomes readable when datagrams arrive.
    virtual int descriptor() const = 0;

    /// Makes wait() also return when datagrams have arrived at the other socket, which must outlive this one.
    virtual void also_wait_for(const datagram_socket& other) = 0;

    /// Blocks until datagrams have arrived, wake() was called or the time has passed.
    virtual void wait(core::milliseconds timeout) = 0;

    /// Ends the present or else the next wait(). Callable from any thread.
    virtual void wake() = 0;

    /// Receives the datagrams that have arrived, up to the batch's capacity, without blocking. Returns how many.
    virtual std::size_t receive(datagram_batch& batch) = 0;

    /// Sends without blocking and returns how many datagrams the system refused, for example because its buffers are
    /// full.
    virtual std::size_t send(const std::vector<outgoing_datagram>& datagrams) = 0;
};

} // namespace ibisdyke::transport
