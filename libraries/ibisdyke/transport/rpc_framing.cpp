#include "ibisdyke/transport/rpc_framing.h"

#include <QtEndian>

#include <cstdint>

namespace ibisdyke::transport {

std::string frame_message(std::string_view message)
{
    std::string result(sizeof(std::uint32_t), '\0');
    qToBigEndian(static_cast<std::uint32_t>(message.size()), result.data());
    result.append(message);
    return result;
}

std::optional<std::string> message_splitter::next()
{
    if (failed_ || buffer_.size() < sizeof(std::uint32_t))
        return std::nullopt;
    const auto size = qFromBigEndian<std::uint32_t>(buffer_.data());
    if (size > max_message_bytes) {
        failed_ = true;
        return std::nullopt;
    }
    if (buffer_.size() < sizeof(std::uint32_t) + size)
        return std::nullopt;
    auto message = buffer_.substr(sizeof(std::uint32_t), size);
    buffer_.erase(0, sizeof(std::uint32_t) + size);
    return message;
}

} // namespace ibisdyke::transport
