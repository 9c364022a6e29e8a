#pragma once

#include "ibisdyke/observability/counter_sink.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace ibisdyke::observability {

enum class log_level : std::uint8_t {
    info,
    warning,
    error,
};

using log_value = std::variant<std::string, std::int64_t, std::uint64_t, double, bool>;

/// A named value in a log line. The name ends with the unit if there is one, for example "age_ms".
class log_field {
public:
    log_field(std::string_view name, std::string value);
    log_field(std::string_view name, std::string_view value);
    log_field(std::string_view name, const char* value);
    log_field(std::string_view name, bool value);
    log_field(std::string_view name, double value);
    log_field(std::string_view name, int value);
    log_field(std::string_view name, std::int64_t value);
    log_field(std::string_view name, std::uint32_t value);
    log_field(std::string_view name, std::uint64_t value);

    std::string_view name() const { return name_; }
    const log_value& value() const { return value_; }

private:
    std::string_view name_;
    log_value value_;
};

/// Starts the log, which writes its lines to standard output from a background thread. Must be called once at start,
/// before other threads are created. If standard output is not read, lines are dropped instead of blocking their
/// writers. Dropped lines are counted in `counters`, which must outlive finish_log().
void initialise_log(std::string_view process_name, counter_sink& counters);

/// Writes the queued lines and ends the background thread. Lines that are not read in time are dropped.
void finish_log();

/// Writes a line of the form `time=... level=... process=... event=... NAME=VALUE...`. `event` names what has happened
/// in the past tense, for example "flow_rejected". Lines of an event above `lines_per_second` are suppressed; their
/// number is logged once a second. Thread-safe.
void write_log(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/// Applies the rate limit of the event to one line and returns whether the line may be written with
/// write_claimed_line(). Used for lines about packets. During a flood of packets nearly all of these lines are
/// suppressed, and formatting their fields would cost more than the decisions that the lines report. Thread-safe.
bool claim_line(std::string_view event);

/// Writes a line for which claim_line() has returned true. The format is that of write_log().
void write_claimed_line(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/// Rate limit of the lines of one event in a process.
constexpr int lines_per_second = 100;

/// Formats fields as in a log line. Text that is empty or contains spaces, quotes or other special characters is
/// quoted.
std::string format_fields(std::initializer_list<log_field> fields);

} // namespace ibisdyke::observability
