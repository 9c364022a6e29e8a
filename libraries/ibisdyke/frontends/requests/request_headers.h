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
/// Caller to agent: how many times the caller has sent this key, from 1. Only a caller that sends each key from one
/// place can know; without the field the key may have been sent before.
constexpr std::string_view send_count = "ibisdyke-send-count";
/// Balancer to agent and back: names the attempt, so that an answer cannot be taken for another attempt's.
constexpr std::string_view attempt = "ibisdyke-attempt";
/// Balancer to agent: the incarnation that the attempt is meant for.
constexpr std::string_view incarnation = "ibisdyke-incarnation";
/// Balancer to agent: the service id.
constexpr std::string_view service = "ibisdyke-service";
/// Balancer to agent: the caller's neighbour.
constexpr std::string_view neighbour = "ibisdyke-neighbour";
/// Balancer to agent: "generated" when the balancer chose the key, so that nobody can send it again.
constexpr std::string_view key_origin = "ibisdyke-key-origin";
/// Both ways: the version of the sender's system state.
constexpr std::string_view version = "ibisdyke-version";
} // namespace header_name

constexpr std::string_view key_origin_generated = "generated";

/// Returns the fields of a request or answer that go on to the next hop: no pseudo-headers, no hop-by-hop fields, no
/// fields of the system, and not the caller's token.
transport::header_list forwardable(const transport::header_list& headers);

/// Returns the verdict that a process states in the head of a response instead of an answer.
std::optional<core::verdict> stated_verdict(const transport::header_list& head);

/// Reads the number of this send of the key. Nothing when the field is malformed; `unknown` when it is missing.
std::optional<requests::send_order> read_send_order(const transport::header_list& headers);

requests::attempt_ending to_ending(transport::close_reason reason);

/// Returns a listener that takes and drops what is left of a request that was answered early.
std::shared_ptr<transport::http2_stream_listener> create_discarder(std::shared_ptr<transport::http2_stream> stream);

/// Returns the head of a response that states a verdict: status 503 with `not-run` or 504 with `may-have-run`.
transport::header_list create_verdict_head(core::verdict it);

} // namespace ibisdyke::frontends
