#include "ibisdyke/settings/settings_file.h"

#include "ibisdyke/core/error.h"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace ibisdyke::settings {

std::string read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string result((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    if (!file)
        throw core::system_failure("cannot read " + path);
    return result;
}

std::map<std::string, std::string> parse_settings_file(std::string_view text)
{
    std::map<std::string, std::string> result;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.empty() || line.front() == '#')
            continue;
        const auto equals = line.find('=');
        if (equals == std::string_view::npos || equals == 0)
            throw core::invalid_input("--settings-file", std::string(line), "lines of the form FLAG=VALUE");
        if (equals + 1 < line.size())
            result.insert_or_assign(std::string(line.substr(0, equals)), std::string(line.substr(equals + 1)));
    }
    return result;
}

} // namespace ibisdyke::settings
