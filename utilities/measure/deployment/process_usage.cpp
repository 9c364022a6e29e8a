#include "measure/deployment/process_usage.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace ibisdyke::measure {

namespace {

constexpr double bytes_per_mb = 1'048'576;
// proc(5): fields of /proc/PID/stat after the program's name in parentheses, counted from 0.
constexpr int user_time_field = 11;
constexpr int system_time_field = 12;
constexpr int rss_pages_field = 21;

} // namespace

std::optional<process_usage> read_process_usage(std::int64_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    if (!std::getline(file, text))
        return std::nullopt;
    // The program's name may contain spaces and parentheses, so the fields begin after the last parenthesis.
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string field;
    process_usage result;
    for (int i = 0; fields >> field; ++i) {
        if (i == user_time_field || i == system_time_field)
            result.cpu_seconds += std::stod(field) / static_cast<double>(sysconf(_SC_CLK_TCK));
        if (i == rss_pages_field)
            result.rss_mb = std::stod(field) * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytes_per_mb;
    }
    return result;
}

} // namespace ibisdyke::measure
