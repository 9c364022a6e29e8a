#pragma once

#include "ibisdyke/core/verdict.h"
#include "ibisdyke/requests/attempt_decision.h"
#include "ibisdyke/requests/messages.h"
#include "ibisdyke/transport/header_field.h"
#include "ibisdyke/transport/http2_stream.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace ibisdyke::frontends {

/// Names of the header fields that the system's processes exchange.
namespace header_name {
constexpr std::string_view verdict = "ibisdyke-verdict";
constexpr std::string_view deadline = "ibisdyke-deadline-ms";
constexpr std::string_view first_sent = "ibisdyke-first-sent";
constexpr std::string_view idempotency_key = "idempotency-key";
/// Caller to agent: how many times the caller has sent this key, counting this send. Only a caller that sends each key
/// from a single place can know this. Without the field, the key may have been sent before.
constexpr std::string_view send_count = "ibisdyke-send-count";
/// Balancer to agent and back: the id of the attempt, so that an answer cannot be mistaken for that of another attempt.
constexpr std::string_view attempt = "ibisdyke-attempt";
/// Balancer to agent: the incarnation of the agent that the attempt is addressed to.
constexpr std::string_view incarnation = "ibisdyke-incarnation";
/// Balancer to agent: the service id.
constexpr std::string_view service = "ibisdyke-service";
/// Balancer to agent: the caller's neighbour.
constexpr std::string_view neighbour = "ibisdyke-neighbour";
/// Balancer to agent: "generated" when the balancer chose the key. The caller does not know such a key, so it cannot
/// resend it.
constexpr std::string_view key_origin = "ibisdyke-key-origin";
/// In both directions: the version of the sender's system state.
constexpr std::string_view version = "ibisdyke-version";
} // namespace header_name

constexpr std::string_view key_origin_generated = "generated";

/// Returns the header fields of a request or answer that are forwarded to the next hop. Leaves out pseudo-headers,
/// hop-by-hop fields, the system's own fields and the caller's token.
transport::header_list forwardable_fields(const transport::header_list& headers);

/// Returns the verdict `not-run` or `may-have-run` of a response that carries a verdict instead of an answer; nothing
/// for the head of an answer.
std::optional<core::verdict> read_verdict_head(const transport::header_list& head);

/// Reads the send count of the key. Returns nothing when the field is malformed and `unknown` when it is missing.
std::optional<requests::send_order> read_send_order(const transport::header_list& headers);

requests::attempt_ending to_attempt_ending(transport::close_reason reason);

/// Returns a listener that discards the rest of a request that was answered before its end.
std::shared_ptr<transport::http2_stream_listener> create_discarding_listener(
    std::shared_ptr<transport::http2_stream> stream);

/// Returns the head of a response that carries a verdict: status 503 with `not-run` or 504 with `may-have-run`.
transport::header_list create_verdict_head(core::verdict it);

} // namespace ibisdyke::frontends
