#pragma once

#include "ibisdyke/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ibisdyke::measure {

/// Final outcome of a request, as its caller sees it.
enum class request_end : std::uint8_t {
    answered,
    /// The caller got the verdict that the request was not run.
    not_run,
    /// The caller got the verdict that the request may have run.
    may_have_run,
    /// The caller got neither an answer nor a verdict by the deadline.
    lost,
};

/// A finished request.
struct request_record {
    std::string service;
    std::string key;
    bool idempotent = true;
    bool large = false;
    request_end end = request_end::lost;
    /// Time from the first send to the end, in whole milliseconds.
    std::int64_t latency_ms = 0;
    core::time_point ended;
    std::size_t attempts = 0;
    /// The connection or stream of an attempt ended without a verdict.
    bool interrupted = false;
    /// An attempt got an answer that belonged to another request, was mixed or was truncated.
    bool wrong_answer = false;
    /// One entry for each not-run verdict, unless an earlier attempt may have run. The entry is the time at which the
    /// request was sent again, or time_point::max() if it was not sent again. An execution that began before this time
    /// contradicts the verdict.
    std::vector<core::time_point> not_run_valid_until;

    friend bool operator==(const request_record&, const request_record&) = default;
};

} // namespace ibisdyke::measure
