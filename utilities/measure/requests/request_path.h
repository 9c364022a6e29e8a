#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ibisdyke::measure {

/// Instructions of a caller to a fake upstream. They are encoded in the request's path, which every hop forwards
/// unchanged.
struct request_path {
    std::string service;
    std::string key;
    std::uint64_t work_ms = 0;
    std::uint64_t answer_bytes = 0;

    friend bool operator==(const request_path&, const request_path&) = default;
};

/// Returns "/SERVICE/KEY/WORK_MS/ANSWER_BYTES".
std::string encode(const request_path& it);

/// Returns nothing when the path does not have this form.
std::optional<request_path> decode_request_path(std::string_view text);

} // namespace ibisdyke::measure
