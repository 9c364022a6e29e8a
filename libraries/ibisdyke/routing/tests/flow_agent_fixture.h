#pragma once

#include "ibisdyke/routing/flow_agent.h"
#include "ibisdyke/testing/simulated_hosts.h"

namespace ibisdyke::routing::testing {

using ibisdyke::testing::simulated_hosts;

inline packet_info syn(std::uint32_t caller)
{
    return simulated_hosts::packet(caller, packet_kind::syn);
}

inline packet_info segment(std::uint32_t caller)
{
    return simulated_hosts::packet(caller, packet_kind::segment);
}

inline packet_info datagram(std::uint32_t caller)
{
    return simulated_hosts::packet(caller, packet_kind::datagram);
}

inline const chain& chain_of(const simulated_hosts& hosts, const packet_info& packet)
{
    return *hosts.table->find_chain(simulated_hosts::service, bucket_of_flow(packet.flow));
}

/// Returns the header that a balancer with the agents' table sends with the packet.
inline packet_header make_header(const simulated_hosts& hosts, const packet_info& packet)
{
    return simulated_hosts::make_header(packet, *hosts.table);
}

} // namespace ibisdyke::routing::testing
