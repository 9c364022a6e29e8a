#include "ibisdyke/settings/settings_source.h"

#include "ibisdyke/settings/settings_file.h"

#include <utility>

namespace ibisdyke::settings {

settings_source::settings_source(
    const settings_parser& parser, int argc, const char* const* argv, setting_values initial)
    : parser_(parser)
    , argc_(argc)
    , argv_(argv)
    , initial_(std::move(initial))
{
}

std::string settings_source::read_file() const
{
    const auto& path = initial_.text(settings_file_flag);
    return path.empty() ? std::string() : settings::read_file(path);
}

setting_values settings_source::reload() const
{
    // parse() returns a value here, because with --help or --version the process would have exited at its start.
    return parser_.parse(argc_, argv_).value();
}

} // namespace ibisdyke::settings
