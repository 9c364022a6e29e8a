// Feeds arbitrary bytes to the decoders of messages that arrive over the network. The first byte selects the decoder. A
// decoder must throw no exception other than core::malformed_message, and a decoded value that is checked with
// check_round_trip() must stay the same when it is encoded and decoded again.

#include "ibisdyke/accounting/wire/codec.h"
#include "ibisdyke/core/error.h"
#include "ibisdyke/dissemination/wire/codec.h"
#include "ibisdyke/frontends/control/wire/control_codec.h"
#include "ibisdyke/membership/wire/codec.h"
#include "ibisdyke/replication/wire/codec.h"
#include "ibisdyke/requests/wire/codec.h"
#include "ibisdyke/routing/wire/codec.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

namespace {

using namespace ibisdyke;

template <typename Decode, typename Encode>
void check_round_trip(std::string_view bytes, Decode decode, Encode encode)
{
    const auto value = decode(bytes);
    const std::string encoded = encode(value);
    if (!(decode(encoded) == value))
        std::abort();
}

using decoder_check = void (*)(std::string_view);

constexpr std::array<decoder_check, 13> checks{
    [](std::string_view bytes) {
        check_round_trip(
            bytes, membership::wire::decode_heartbeat, [](const auto& it) { return membership::wire::encode(it); });
    },
    [](std::string_view bytes) {
        check_round_trip(bytes, membership::wire::decode_heartbeat_answer,
            [](const auto& it) { return membership::wire::encode(it); });
    },
    [](std::string_view bytes) {
        check_round_trip(
            bytes, dissemination::wire::decode_delta, [](const auto& it) { return dissemination::wire::encode(it); });
    },
    [](std::string_view bytes) {
        check_round_trip(bytes, dissemination::wire::decode_subscribe_request,
            [](const auto& it) { return dissemination::wire::encode(it); });
    },
    [](std::string_view bytes) { static_cast<void>(dissemination::wire::decode_subscription_message(bytes)); },
    [](std::string_view bytes) { static_cast<void>(replication::wire::decode_message(bytes)); },
    [](std::string_view bytes) { static_cast<void>(frontends::wire::decode_control_command(bytes)); },
    [](std::string_view bytes) {
        check_round_trip(bytes, requests::decode_lookup_query, [](const auto& it) { return requests::encode(it); });
    },
    [](std::string_view bytes) {
        check_round_trip(
            bytes, routing::wire::decode_packet_header, [](const auto& it) { return routing::wire::encode(it); });
    },
    [](std::string_view bytes) {
        check_round_trip(
            bytes, membership::wire::decode_lease_batch, [](const auto& it) { return membership::wire::encode(it); });
    },
    [](std::string_view bytes) {
        check_round_trip(bytes, membership::wire::decode_lease_batch_answer,
            [](const auto& it) { return membership::wire::encode(it); });
    },
    [](std::string_view bytes) {
        check_round_trip(bytes, accounting::decode_usage_report, [](const auto& it) { return accounting::encode(it); });
    },
    [](std::string_view bytes) {
        check_round_trip(bytes, requests::decode_lookup_answer, [](const auto& it) { return requests::encode(it); });
    },
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t n)
{
    if (n == 0)
        return 0;
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, n - 1);
    try {
        checks.at(data[0] % checks.size())(bytes);
    } catch (const core::malformed_message&) {
        return 0;
    }
    return 0;
}
