#pragma once

#include "ibisdyke/testing/request_cluster.h"

#include <string>

namespace ibisdyke::frontends::testing {

/// Lets the system choose a free port.
inline core::endpoint any_loopback_port()
{
    return core::endpoint::create("127.0.0.1:0");
}

/// Returns a POST request with a caller's key. `first_sent` is the caller's wall clock in milliseconds.
inline ibisdyke::testing::caller_options keyed_post(
    const std::string& key, const std::string& first_sent, const std::string& body)
{
    return {.method = "POST", .body = body, .headers = {{"idempotency-key", key}, {"ibisdyke-first-sent", first_sent}}};
}

inline void never_answer(ibisdyke::testing::upstream_call&) { }

} // namespace ibisdyke::frontends::testing
