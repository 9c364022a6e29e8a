// Feeds arbitrary datagrams to the functions that the packet threads call before they make a decision, which are
// split_datagram(), the decoders and parse(). They must throw no exception other than core::malformed_message.

#include "ibisdyke/core/error.h"
#include "ibisdyke/frontends/packets/ip_packet_format.h"
#include "ibisdyke/routing/wire/codec.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t n)
{
    using namespace ibisdyke;
    const frontends::ip_packet_format format({});
    const std::string_view datagram(reinterpret_cast<const char*>(data), n);
    static_cast<void>(format.parse(datagram));
    try {
        const auto parts = routing::wire::split_datagram(datagram);
        static_cast<void>(format.parse(parts.packet));
        if (parts.kind == routing::wire::datagram_kind::packet)
            static_cast<void>(routing::wire::decode_packet_header(parts.message));
        if (parts.kind == routing::wire::datagram_kind::notice)
            static_cast<void>(routing::wire::decode_version_notice(parts.message));
    } catch (const core::malformed_message&) {
        return 0;
    }
    return 0;
}
