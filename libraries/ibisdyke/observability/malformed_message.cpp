#include "ibisdyke/observability/malformed_message.h"

#include "ibisdyke/observability/log.h"

namespace ibisdyke::observability {

void note_malformed(counter_sink& counters, std::string_view counter, const core::malformed_message& error)
{
    counters.add(counter, 1);
    write_log(log_level::warning, "message_malformed", {{"counter", counter}, {"error", error.what()}});
}

} // namespace ibisdyke::observability
