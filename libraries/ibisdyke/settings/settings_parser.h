#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ibisdyke::settings {

/// The checked settings of a process. The getters throw std::logic_error for a flag that was not declared.
class setting_values {
public:
    explicit setting_values(std::map<std::string, std::string> values)
        : values_(std::move(values))
    {
    }

    const std::string& text(const std::string& flag) const;
    std::uint64_t number(const std::string& flag) const;
    double ratio(const std::string& flag) const;
    core::milliseconds duration(const std::string& flag) const;
    core::endpoint endpoint(const std::string& flag) const;

    /// Returns the endpoints of a comma-separated list; an empty text is an empty list.
    std::vector<core::endpoint> endpoints(const std::string& flag) const;

    bool is_empty(const std::string& flag) const { return text(flag).empty(); }

private:
    std::map<std::string, std::string> values_;
};

/// Whether a setting must be given.
enum class presence : std::uint8_t {
    required,
    optional,
};

/// Reads settings from flags, where a flag is missing from environment variables, and else from the settings file, if
/// there is one: --drain-limit-ms is also IBISDYKE_DRAIN_LIMIT_MS, or drain-limit-ms in the file. Every value is
/// checked by parse(), so that a process with a bad setting does not start.
class settings_parser {
public:
    settings_parser(std::string program, std::string summary);
    ~settings_parser();
    settings_parser(const settings_parser&) = delete;
    settings_parser& operator=(const settings_parser&) = delete;
    settings_parser(settings_parser&&) = delete;
    settings_parser& operator=(settings_parser&&) = delete;

    /// Each of these declares one setting. `initial` is used when neither flag nor variable is given; an empty one
    /// makes an optional setting empty.
    void add_text(const std::string& flag, const std::string& help, const std::string& initial, presence need);
    void add_number(
        const std::string& flag, const std::string& help, std::uint64_t initial, std::uint64_t min, std::uint64_t max);
    /// One of the names in `allowed`, of which the first is used when none is given.
    void add_choice(const std::string& flag, const std::string& help, const std::vector<std::string>& allowed);
    /// A number from 0 to 1.
    void add_ratio(const std::string& flag, const std::string& help, double initial);
    /// A whole number of milliseconds; the flag's name ends in -ms.
    void add_duration(const std::string& flag, const std::string& help, core::milliseconds initial,
        core::milliseconds min, core::milliseconds max);
    void add_endpoint(const std::string& flag, const std::string& help, const std::string& initial, presence need);
    /// A comma-separated list of endpoints.
    void add_endpoints(const std::string& flag, const std::string& help, presence need);

    /// Returns the checked values, or nothing after --help or --version was answered on standard output. Throws
    /// core::invalid_input naming the flag, the value and what is allowed.
    std::optional<setting_values> parse(int argc, const char* const* argv) const;

    /// Returns the name of the environment variable of a flag.
    static std::string variable_name(const std::string& flag);

private:
    class declaration;

    std::map<std::string, std::string> read_settings_file(const std::string& path) const;
    void declare(const std::string& flag, std::unique_ptr<declaration> it);

    std::string program_;
    std::string summary_;
    std::vector<std::string> order_;
    std::map<std::string, std::unique_ptr<declaration>> declarations_;
};

} // namespace ibisdyke::settings
