#include "ibisdyke/configuration/text_patch.h"
#include "ibisdyke/core/error.h"

#include <catch2/catch.hpp>

#include <random>

using namespace ibisdyke;
using configuration::apply_patch;
using configuration::make_patch;

// The log holds only a patch of a plan document. The patched text must equal the document that the operator sent.
TEST_CASE("a patch turns any text into any other")
{
    std::mt19937 random(1); // NOLINT
    const auto make_text = [&random] {
        std::string result;
        for (auto n = random() % 30; n > 0; --n)
            result += std::string(random() % 3, 'x') + "ab}{,"[random() % 5];
        return result;
    };
    for (int i = 0; i < 2000; ++i) {
        const auto before = make_text();
        const auto after = make_text();
        CHECK(apply_patch(make_patch(before, after), before) == after);
    }
}

TEST_CASE("a patch contains only the new parts of a text")
{
    const std::string before = R"({"version":7,"routes":[{"name":"a"},{"name":"b"},{"name":"c"}]})";
    const std::string after = R"({"version":8,"routes":[{"name":"a"},{"name":"b"},{"name":"c"},{"name":"d"}]})";
    const auto patch = make_patch(before, after);
    std::size_t added = 0;
    for (const auto& it : patch.steps)
        added += it.added.size();
    CHECK(
        added == std::string(R"({"version":8,"routes":[{"name":"a"})").size() + std::string(R"(,{"name":"d"})").size());
    CHECK(apply_patch(patch, before) == after);
}

TEST_CASE("a patch that copies from beyond the end of the text is refused")
{
    CHECK_THROWS_AS(apply_patch({{{3, 2, ""}}}, "abcd"), core::invalid_input);
    CHECK_THROWS_AS(apply_patch({{{5, 0, ""}}}, "abcd"), core::invalid_input);
    CHECK(apply_patch({{{2, 2, "x"}}}, "abcd") == "cdx");
}
