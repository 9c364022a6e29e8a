#pragma once

#include <cstdint>
#include <string_view>

namespace ibisdyke::requests {

/// Whether a second run of a request has no further effect.
enum class idempotence : std::uint8_t {
    idempotent,
    not_idempotent,
};

/// Returns the idempotence of an HTTP method: GET, HEAD, PUT, DELETE and OPTIONS are idempotent; POST, PATCH and
/// unknown methods are not.
idempotence classify_method(std::string_view method);

} // namespace ibisdyke::requests
