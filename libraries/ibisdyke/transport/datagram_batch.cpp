#include "ibisdyke/transport/datagram_batch.h"

#include <cstring>
#include <stdexcept>
#include <string>

namespace ibisdyke::transport {

datagram_batch::datagram_batch(std::size_t capacity)
    : storage_(capacity * stride_bytes)
    , received_(capacity)
{
}

std::string_view datagram_batch::prepend(std::size_t i, std::size_t skip, std::initializer_list<std::string_view> parts)
{
    std::size_t size = 0;
    for (const auto& it : parts)
        size += it.size();
    if (size > headroom_bytes + skip)
        throw std::length_error("datagram prefix of " + std::to_string(size) + " bytes does not fit into the headroom");
    char* const begin = buffer(i) + skip - size;
    char* destination = begin;
    for (const auto& it : parts) {
        std::memcpy(destination, it.data(), it.size());
        destination += it.size();
    }
    return {begin, size + received_[i].size - skip};
}

} // namespace ibisdyke::transport
