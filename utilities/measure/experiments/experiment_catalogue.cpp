#include "measure/experiments/experiment_catalogue.h"

#include "ibisdyke/core/error.h"
#include "measure/experiments/random_schedule.h"

#include <algorithm>
#include <filesystem>

namespace ibisdyke::measure {

namespace {

const std::string random_name = "random";
constexpr std::uint64_t default_seconds = 30;

} // namespace

std::vector<std::string> experiment_catalogue::names() const
{
    std::vector<std::string> result{random_name};
    if (std::filesystem::is_directory(folder_)) {
        for (const auto& it : std::filesystem::directory_iterator(folder_)) {
            if (it.path().extension() == ".jsonl")
                result.push_back(it.path().stem().string());
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

trace experiment_catalogue::create(const std::string& name, std::uint64_t seed, std::uint64_t seconds) const
{
    if (name == random_name)
        return create_random_trace(
            std::max<std::uint64_t>(seed, 1), static_cast<double>(seconds > 0 ? seconds : default_seconds));
    const auto known = names();
    if (std::find(known.begin(), known.end(), name) != known.end())
        return trace::read(folder_ + "/" + name + ".jsonl");
    std::string allowed;
    for (const auto& it : known)
        allowed += (allowed.empty() ? "" : ", ") + it;
    throw core::invalid_input("experiment", name, "one of " + allowed);
}

} // namespace ibisdyke::measure
