#pragma once

#include "ibisdyke/core/time.h"

#include <optional>
#include <string_view>

namespace ibisdyke::requests {

/// The time until the deadline of a request whose caller states none.
constexpr core::milliseconds default_time_remaining{10'000};

/// The longest time until the deadline that a caller may state.
constexpr core::milliseconds max_time_remaining{3'600'000};

/// Parses the value of the header `ibisdyke-deadline-ms`. Returns nothing unless the text is a whole number from 1 to
/// max_time_remaining.
std::optional<core::milliseconds> parse_time_remaining(std::string_view text);

/// Returns the time until the deadline, at least zero. It is rounded down, so that rounding never extends the deadline
/// from hop to hop.
core::milliseconds time_remaining(core::time_point deadline, core::time_point now);

/// Parses the value of the header `ibisdyke-first-sent`. Returns nothing unless the text is a whole number of
/// milliseconds.
std::optional<core::wall_time> parse_wall_time(std::string_view text);

/// The largest difference between the clocks of callers and VMs that the decisions about records allow for.
constexpr core::milliseconds clock_skew_tolerance{2'000};

} // namespace ibisdyke::requests
