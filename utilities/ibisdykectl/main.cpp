#include "commands.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/settings/settings_parser.h"

#include <QCoreApplication>

#include <cxxopts.hpp>

#include <cstdlib>
#include <iostream>
#include <optional>
#include <string_view>

namespace {

using namespace ibisdyke;

/// Returns the value of a flag. Without the flag returns the value of its environment variable, or an empty string.
std::string value_of(const cxxopts::ParseResult& parsed, const std::string& flag)
{
    if (parsed.count(flag) > 0)
        return parsed[flag].as<std::string>();
    const char* const variable = std::getenv(settings::settings_parser::variable_name(flag).c_str());
    return variable == nullptr ? "" : variable;
}

std::vector<core::endpoint> parse_endpoints(std::string_view text)
{
    std::vector<core::endpoint> result;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        try {
            result.push_back(core::endpoint::create(text.substr(0, comma)));
        } catch (const core::invalid_input&) {
            throw core::invalid_input(
                "--admin", std::string(text.substr(0, comma)), "a comma-separated list of IPv4 addresses and ports");
        }
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return result;
}

void read_duration(const cxxopts::ParseResult& parsed, const std::string& flag, core::milliseconds& out)
{
    const auto text = value_of(parsed, flag);
    if (text.empty())
        return;
    bool ok = false;
    const auto count = QString::fromStdString(text).toUInt(&ok);
    if (!ok)
        throw core::invalid_input("--" + flag, text, "a whole number of milliseconds");
    out = core::milliseconds(count);
}

/// Parses the command line. Returns nothing when --help or --version was given and its text has been printed.
std::optional<ctl::ctl_options> read_options(int argc, const char* const* argv)
{
    cxxopts::Options options("ibisdykectl", "Administers ibisdyke through its control processes.");
    const auto value = [] { return cxxopts::value<std::string>(); };
    options.add_options()("admin", "Administration addresses of control processes, comma-separated", value());
    options.add_options()("token", "Bearer token; better given as IBISDYKE_TOKEN", value());
    options.add_options()("timeout-ms", "Longest time to find a control process that answers (15000)", value());
    options.add_options()("wait", "Return when the change is in force everywhere");
    options.add_options()("wait-limit-ms", "Longest time that --wait waits (30000)", value());
    options.add_options()("json", "Write JSON instead of tables");
    options.add_options()("csv", "Write usage as CSV");
    options.add_options()("based-on", "Revision that an edit is based on, instead of the file's", value());
    options.add_options()("neighbour", "Owner of a token", value());
    options.add_options()("role", "Role of a token: caller, read, operate or administer", value());
    options.add_options()("command-id", "Id of the command, to send it again by hand", value());
    options.add_options()("front-end", "Front end that reads route plans: ip or platform (ip)", value());
    options.add_options()("against", "File with the route plan in force", value());
    options.add_options()("help", "Show this help and exit")("version", "Show the version and exit");
    options.add_options("positional")("arguments", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"arguments"});
    options.positional_help("COMMAND");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help({""}) << "\nCommands:\n" << ctl::command_help();
        return std::nullopt;
    }
    if (parsed.count("version") > 0) {
        std::cout << "ibisdykectl " << IBISDYKE_VERSION << '\n';
        return std::nullopt;
    }
    ctl::ctl_options result;
    if (parsed.count("arguments") > 0)
        result.arguments = parsed["arguments"].as<std::vector<std::string>>();
    result.admin = parse_endpoints(value_of(parsed, "admin"));
    result.token = value_of(parsed, "token");
    read_duration(parsed, "timeout-ms", result.timeout);
    read_duration(parsed, "wait-limit-ms", result.wait_limit);
    result.wait = parsed.count("wait") > 0;
    result.json = parsed.count("json") > 0;
    result.csv = parsed.count("csv") > 0;
    result.based_on = value_of(parsed, "based-on");
    result.neighbour = value_of(parsed, "neighbour");
    result.role = value_of(parsed, "role");
    result.command_id = value_of(parsed, "command-id");
    result.front_end = value_of(parsed, "front-end");
    result.against = value_of(parsed, "against");
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    using ctl::ctl_exit_code;
    auto code = ctl_exit_code::success;
    try {
        const auto options = read_options(argc, argv);
        const QCoreApplication application(argc, argv);
        if (options)
            code = ctl::run_command(*options);
    } catch (const core::invalid_input& e) {
        std::cerr << e.what() << '\n';
        code = ctl_exit_code::bad_input;
    } catch (const cxxopts::exceptions::exception& e) {
        std::cerr << e.what() << '\n';
        code = ctl_exit_code::bad_input;
    } catch (const std::exception& e) {
        std::cerr << e.what() << '\n';
        code = ctl_exit_code::failure;
    }
    return static_cast<int>(code);
}
