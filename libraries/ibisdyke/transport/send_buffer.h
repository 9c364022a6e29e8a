#pragma once

#include "ibisdyke/transport/http2_stream.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

namespace ibisdyke::transport::detail {

/// The bytes of a stream's body that are queued until flow control allows sending them.
class send_buffer {
public:
    void append(std::string_view bytes, end_of_stream end)
    {
        bytes_.append(bytes);
        ended_ = ended_ || end == end_of_stream::yes;
    }

    /// Moves up to `n` bytes to `destination` and returns their number.
    std::size_t take(std::uint8_t* destination, std::size_t n)
    {
        const auto count = std::min(n, size());
        std::memcpy(destination, bytes_.data() + consumed_, count);
        consumed_ += count;
        // Erasing after each frame would make the cost of sending quadratic in the size of a large body.
        if (consumed_ == bytes_.size() || consumed_ >= compaction_threshold_bytes) {
            bytes_.erase(0, consumed_);
            consumed_ = 0;
        }
        return count;
    }

    std::size_t size() const { return bytes_.size() - consumed_; }
    bool finished() const { return ended_ && size() == 0; }

private:
    static constexpr std::size_t compaction_threshold_bytes = 1'048'576;

    std::string bytes_;
    std::size_t consumed_ = 0;
    bool ended_ = false;
};

} // namespace ibisdyke::transport::detail
