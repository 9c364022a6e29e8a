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

/// One field of a line. The name says the unit, for example "age_ms".
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

/// Begins to write log lines to standard output. Call once at start, before other threads. A thread of its own writes
/// them: a reader that does not read costs lines, never time. Lines that are dropped are counted in `counters`, which
/// must outlive the last line.
void initialise_log(std::string_view process_name, counter_sink& counters);

/// Writes the lines that still wait, for a short time at most, and ends the thread.
void finish_log();

/// Writes one line of the form `time=... level=... process=... event=... NAME=VALUE...`. `event` says what happened, in
/// the past: "flow_rejected". Each event has at most `lines_per_second` lines; those beyond are counted, and the count
/// is written once a second. Callable from any thread.
void write_log(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/// Counts a line of the event and returns whether it is to be written, with write_claimed_line(). For lines about
/// packets: in a flood nearly all are left out, and their fields cost more than the decision that they tell of.
/// Callable from any thread.
bool claim_line(std::string_view event);

/// Writes a line that claim_line() has allowed, as write_log() does.
void write_claimed_line(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/// Lines of one event that a process writes in a second.
constexpr int lines_per_second = 100;

/// Returns the fields as they stand in a line. Text is quoted where it could be misread.
std::string format_fields(std::initializer_list<log_field> fields);

} // namespace ibisdyke::observability
