#pragma once

#include <string>
#include <vector>

namespace ibisdyke::ctl {

/// Formats rows as lines of text with aligned columns. The first row is the heading.
std::string format_table(const std::vector<std::vector<std::string>>& rows);

} // namespace ibisdyke::ctl
