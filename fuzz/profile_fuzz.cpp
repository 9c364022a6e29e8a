// Feeds arbitrary JSON to the parser of the profiles that operators send. It must throw no exception other than
// core::invalid_input, and a parsed profile must stay the same when it is written and parsed again.

#include "ibisdyke/configuration/wire/json_codec.h"
#include "ibisdyke/configuration/wire/json_document.h"
#include "ibisdyke/core/error.h"

#include <QByteArray>

#include <cstddef>
#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t n)
{
    using namespace ibisdyke;
    const QByteArray bytes(reinterpret_cast<const char*>(data), static_cast<qsizetype>(n));
    try {
        const auto document = configuration::wire::parse_json_object("body", bytes);
        const auto profile = configuration::wire::profile_from_json(document);
        if (!(configuration::wire::profile_from_json(configuration::wire::to_json(profile)) == profile))
            std::abort();
    } catch (const core::invalid_input&) {
        return 0;
    }
    return 0;
}
