#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace ibisdyke::configuration {

/// One step of a patch: first `copied_bytes` of the earlier text from `copied_from`, then the added text.
struct patch_step {
    std::size_t copied_from = 0;
    std::size_t copied_bytes = 0;
    std::string added;

    friend bool operator==(const patch_step&, const patch_step&) = default;
};

/// Turns one text into another. Holds what is new only, so that a change of one route among hundreds is a short record.
struct text_patch {
    std::vector<patch_step> steps;

    friend bool operator==(const text_patch&, const text_patch&) = default;
};

/// Returns a patch that leads from `before` to `after`. Texts are compared in pieces that end at a closing brace, so
/// that it finds the common objects of two JSON documents in linear time.
text_patch make_patch(std::string_view before, std::string_view after);

/// Returns the text after the patch. Throws core::invalid_input when the patch copies from beyond the text.
std::string apply_patch(const text_patch& patch, std::string_view before);

} // namespace ibisdyke::configuration
