#include "text_table.h"

#include <algorithm>

namespace ibisdyke::ctl {

std::string format_table(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string result;
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            if (i + 1 < row.size())
                line += std::string(widths[i] - row[i].size() + 2, ' ');
        }
        result += line + '\n';
    }
    return result;
}

} // namespace ibisdyke::ctl
