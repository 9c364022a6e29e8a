#pragma once

#include <cstdint>
#include <string_view>

namespace ibisdyke::core {

/// The known result of a request after the attempts to serve it.
enum class verdict : std::uint8_t {
    /// The complete answer of the upstream has arrived.
    answered,
    /// No attempt has reached the upstream's code and none can still reach it. The request may be sent again.
    not_run,
    /// An attempt may have reached the upstream's code. Only an idempotent request may be sent again.
    may_have_run,
};

/// Returns the verdict's name on the wire: "answered", "not-run" or "may-have-run".
constexpr std::string_view to_string(verdict it)
{
    switch (it) {
    case verdict::answered:
        return "answered";
    case verdict::not_run:
        return "not-run";
    case verdict::may_have_run:
        break;
    }
    return "may-have-run";
}

} // namespace ibisdyke::core
