#include "ibisdyke/configuration/text_patch.h"

#include "ibisdyke/core/error.h"

#include <algorithm>
#include <unordered_map>

namespace ibisdyke::configuration {

namespace {

std::vector<std::string_view> split_after_braces(std::string_view text)
{
    std::vector<std::string_view> result;
    while (!text.empty()) {
        const auto end = text.find('}');
        const auto n = end == std::string_view::npos ? text.size() : end + 1;
        result.push_back(text.substr(0, n));
        text.remove_prefix(n);
    }
    return result;
}

} // namespace

text_patch make_patch(std::string_view before, std::string_view after)
{
    std::unordered_map<std::string_view, std::size_t> offsets;
    for (const auto it : split_after_braces(before))
        offsets.emplace(it, static_cast<std::size_t>(it.data() - before.data()));
    text_patch result;
    for (const auto it : split_after_braces(after)) {
        const auto found = offsets.find(it);
        if (found == offsets.end()) {
            if (result.steps.empty())
                result.steps.emplace_back();
            result.steps.back().added.append(it);
            continue;
        }
        auto* const last = result.steps.empty() ? nullptr : &result.steps.back();
        if (last != nullptr && last->added.empty() && last->copied_from + last->copied_bytes == found->second)
            last->copied_bytes += it.size();
        else
            result.steps.push_back({found->second, it.size(), {}});
    }
    return result;
}

std::string apply_patch(const text_patch& patch, std::string_view before)
{
    std::string result;
    for (const auto& it : patch.steps) {
        if (it.copied_from > before.size() || it.copied_bytes > before.size() - it.copied_from)
            throw core::invalid_input("document", std::to_string(it.copied_from), "a place within the earlier text");
        result.append(before.substr(it.copied_from, it.copied_bytes));
        result.append(it.added);
    }
    return result;
}

} // namespace ibisdyke::configuration
