#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace ibisdyke::configuration {

/// One step of a patch: copies `copied_bytes` bytes of the old text from offset `copied_from`, then appends `added`.
struct patch_step {
    std::size_t copied_from = 0;
    std::size_t copied_bytes = 0;
    std::string added;

    friend bool operator==(const patch_step&, const patch_step&) = default;
};

/// The steps that turn one text into another. Contains only the new parts of the text, so that a change of one route
/// among hundreds takes a short log record.
struct text_patch {
    std::vector<patch_step> steps;

    friend bool operator==(const text_patch&, const text_patch&) = default;
};

/// Returns a patch that turns `before` into `after`. Splits both texts after each closing brace and compares the
/// pieces, which finds the common objects of two JSON documents in linear time.
text_patch make_patch(std::string_view before, std::string_view after);

/// Returns the patched text. Throws core::invalid_input if the patch copies from beyond the end of `before`.
std::string apply_patch(const text_patch& patch, std::string_view before);

} // namespace ibisdyke::configuration
