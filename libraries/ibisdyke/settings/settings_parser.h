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

/// The validated settings of a process. The getters throw std::logic_error for a flag that was not declared.
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

    /// Returns the endpoints of a comma-separated list. The list is empty if the setting is empty.
    std::vector<core::endpoint> endpoints(const std::string& flag) const;

    bool is_empty(const std::string& flag) const { return text(flag).empty(); }

private:
    std::map<std::string, std::string> values_;
};

/// Whether a setting must have a value.
enum class presence : std::uint8_t {
    required,
    optional,
};

/// Reads the settings of a process. A flag takes precedence over its environment variable, which takes precedence over
/// the settings file. For example, the setting --drain-limit-ms can also be given as the environment variable
/// IBISDYKE_DRAIN_LIMIT_MS, or as drain-limit-ms in the file. parse() validates all values, so that a process with an
/// invalid setting does not start.
class settings_parser {
public:
    settings_parser(std::string program, std::string summary);
    ~settings_parser();
    settings_parser(const settings_parser&) = delete;
    settings_parser& operator=(const settings_parser&) = delete;
    settings_parser(settings_parser&&) = delete;
    settings_parser& operator=(settings_parser&&) = delete;

    /// The add functions each declare one setting. `initial` is the default when the setting is given neither as a flag
    /// nor as an environment variable nor in the settings file.
    void add_text(const std::string& flag, const std::string& help, const std::string& initial, presence need);
    void add_number(
        const std::string& flag, const std::string& help, std::uint64_t initial, std::uint64_t min, std::uint64_t max);
    /// Declares a setting whose value is one of the names in `allowed`. The first name is the default.
    void add_choice(const std::string& flag, const std::string& help, const std::vector<std::string>& allowed);
    /// Declares a setting whose value is a number from 0 to 1.
    void add_ratio(const std::string& flag, const std::string& help, double initial);
    /// Declares a setting whose value is a whole number of milliseconds. The name of the flag ends in -ms.
    void add_duration(const std::string& flag, const std::string& help, core::milliseconds initial,
        core::milliseconds min, core::milliseconds max);
    void add_endpoint(const std::string& flag, const std::string& help, const std::string& initial, presence need);
    /// Declares a setting whose value is a comma-separated list of endpoints. The default is empty.
    void add_endpoints(const std::string& flag, const std::string& help, presence need);

    /// Returns the validated values. For --help and --version, writes the text to standard output and returns
    /// std::nullopt. Throws core::invalid_input with the flag, the value and the allowed values.
    std::optional<setting_values> parse(int argc, const char* const* argv) const;

    /// Returns the name of the environment variable of a flag.
    static std::string variable_name(const std::string& flag);

private:
    class declaration;

    std::map<std::string, std::string> read_settings_file(const std::string& path) const;
    void declare(const std::string& flag, std::unique_ptr<declaration> setting);

    std::string program_;
    std::string summary_;
    /// All flags in the order of their declaration.
    std::vector<std::string> flags_;
    std::map<std::string, std::unique_ptr<declaration>> declarations_;
};

} // namespace ibisdyke::settings
