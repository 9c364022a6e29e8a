#include "ibisdyke/settings/settings_parser.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/core/parse_number.h"
#include "ibisdyke/settings/settings_file.h"

// Makes cxxopts parse arguments without std::regex. Compiling its regular expressions took a sixth of the start time of
// a daemon.
#define CXXOPTS_NO_REGEX true
#include <cxxopts.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <iostream>
#include <stdexcept>
#include <utility>

namespace ibisdyke::settings {

namespace {

std::optional<double> parse_ratio(const std::string& text)
{
    double value = 0;
    const auto* const end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, value);
    if (ec != std::errc{} || rest != end || !(value >= 0 && value <= 1))
        return std::nullopt;
    return value;
}

std::vector<core::endpoint> parse_endpoints(const std::string& text)
{
    std::vector<core::endpoint> result;
    std::string_view rest = text;
    while (!rest.empty()) {
        const auto comma = std::min(rest.find(','), rest.size());
        result.push_back(core::endpoint::create(rest.substr(0, comma)));
        rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
    return result;
}

} // namespace

/// A declared setting with its help text and the validation of its value.
class settings_parser::declaration {
public:
    declaration(std::string help, std::string initial, presence need)
        : help_(std::move(help))
        , initial_(std::move(initial))
        , need_(need)
    {
    }

    virtual ~declaration() = default;
    declaration(const declaration&) = delete;
    declaration& operator=(const declaration&) = delete;
    declaration(declaration&&) = delete;
    declaration& operator=(declaration&&) = delete;

    const std::string& help() const { return help_; }
    const std::string& initial() const { return initial_; }

    /// Throws core::invalid_input when the value is not allowed.
    void check(const std::string& flag, const std::string& value) const
    {
        if (value.empty() && need_ == presence::optional)
            return;
        if (!is_allowed(value))
            throw core::invalid_input("--" + flag, value, allowed());
    }

protected:
    virtual bool is_allowed(const std::string& value) const = 0;
    virtual std::string allowed() const = 0;

private:
    std::string help_;
    std::string initial_;
    presence need_;
};

namespace {

template <typename Base>
class text_declaration final : public Base {
public:
    using Base::Base;

private:
    bool is_allowed(const std::string& value) const override { return !value.empty(); }
    std::string allowed() const override { return "a non-empty text"; }
};

template <typename Base>
class choice_declaration final : public Base {
public:
    choice_declaration(const std::string& help, const std::vector<std::string>& names)
        : Base(help, names.front(), presence::required)
        , names_(names)
    {
    }

private:
    bool is_allowed(const std::string& value) const override
    {
        return std::find(names_.begin(), names_.end(), value) != names_.end();
    }

    std::string allowed() const override
    {
        std::string result = "one of";
        for (const auto& it : names_)
            result += " " + it;
        return result;
    }

    std::vector<std::string> names_;
};

template <typename Base>
class number_declaration final : public Base {
public:
    number_declaration(const std::string& help, std::uint64_t initial, std::uint64_t min, std::uint64_t max)
        : Base(help, std::to_string(initial), presence::required)
        , min_(min)
        , max_(max)
    {
    }

private:
    bool is_allowed(const std::string& value) const override
    {
        const auto number = core::parse_number(value);
        return number && *number >= min_ && *number <= max_;
    }

    std::string allowed() const override
    {
        return "a whole number from " + std::to_string(min_) + " to " + std::to_string(max_);
    }

    std::uint64_t min_;
    std::uint64_t max_;
};

template <typename Base>
class ratio_declaration final : public Base {
public:
    using Base::Base;

private:
    bool is_allowed(const std::string& value) const override { return parse_ratio(value).has_value(); }
    std::string allowed() const override { return "a number from 0 to 1"; }
};

template <typename Base>
class endpoints_declaration final : public Base {
public:
    endpoints_declaration(const std::string& help, const std::string& initial, presence need, std::size_t max_count)
        : Base(help, initial, need)
        , max_count_(max_count)
    {
    }

private:
    bool is_allowed(const std::string& value) const override
    {
        try {
            const auto n = parse_endpoints(value).size();
            return n >= 1 && n <= max_count_;
        } catch (const core::invalid_input&) {
            return false;
        }
    }

    std::string allowed() const override
    {
        if (max_count_ == 1)
            return "an IPv4 address and port, such as 127.0.0.1:7000";
        return "a comma-separated list of IPv4 addresses and ports";
    }

    std::size_t max_count_;
};

constexpr std::size_t max_endpoints = 64;

} // namespace

const std::string& setting_values::text(const std::string& flag) const
{
    const auto it = values_.find(flag);
    if (it == values_.end())
        throw std::logic_error("setting --" + flag + " was not declared");
    return it->second;
}

std::uint64_t setting_values::number(const std::string& flag) const
{
    return core::parse_number(text(flag)).value_or(0);
}

double setting_values::ratio(const std::string& flag) const
{
    return parse_ratio(text(flag)).value_or(0);
}

core::milliseconds setting_values::duration(const std::string& flag) const
{
    return core::milliseconds(static_cast<core::milliseconds::rep>(number(flag)));
}

core::endpoint setting_values::endpoint(const std::string& flag) const
{
    return core::endpoint::create(text(flag));
}

std::vector<core::endpoint> setting_values::endpoints(const std::string& flag) const
{
    return parse_endpoints(text(flag));
}

settings_parser::settings_parser(std::string program, std::string summary)
    : program_(std::move(program))
    , summary_(std::move(summary))
{
    add_text(settings_file_flag, "File with further settings, one FLAG=VALUE per line", "", presence::optional);
}

settings_parser::~settings_parser() = default;

void settings_parser::add_text(
    const std::string& flag, const std::string& help, const std::string& initial, presence need)
{
    declare(flag, std::make_unique<text_declaration<declaration>>(help, initial, need));
}

void settings_parser::add_number(
    const std::string& flag, const std::string& help, std::uint64_t initial, std::uint64_t min, std::uint64_t max)
{
    declare(flag, std::make_unique<number_declaration<declaration>>(help, initial, min, max));
}

void settings_parser::add_choice(
    const std::string& flag, const std::string& help, const std::vector<std::string>& allowed)
{
    declare(flag, std::make_unique<choice_declaration<declaration>>(help, allowed));
}

void settings_parser::add_ratio(const std::string& flag, const std::string& help, double initial)
{
    declare(flag, std::make_unique<ratio_declaration<declaration>>(help, std::to_string(initial), presence::required));
}

void settings_parser::add_duration(const std::string& flag, const std::string& help, core::milliseconds initial,
    core::milliseconds min, core::milliseconds max)
{
    add_number(flag, help, static_cast<std::uint64_t>(initial.count()), static_cast<std::uint64_t>(min.count()),
        static_cast<std::uint64_t>(max.count()));
}

void settings_parser::add_endpoint(
    const std::string& flag, const std::string& help, const std::string& initial, presence need)
{
    declare(flag, std::make_unique<endpoints_declaration<declaration>>(help, initial, need, 1));
}

void settings_parser::add_endpoints(const std::string& flag, const std::string& help, presence need)
{
    declare(flag, std::make_unique<endpoints_declaration<declaration>>(help, "", need, max_endpoints));
}

void settings_parser::declare(const std::string& flag, std::unique_ptr<declaration> setting)
{
    flags_.push_back(flag);
    declarations_.insert_or_assign(flag, std::move(setting));
}

std::optional<setting_values> settings_parser::parse(int argc, const char* const* argv) const
{
    cxxopts::Options options(program_, summary_);
    options.add_options()("help", "Show this help and exit")("version", "Show the version and exit");
    for (const auto& flag : flags_) {
        const auto& it = *declarations_.at(flag);
        options.add_options()(flag, it.help() + " [" + variable_name(flag) + "]",
            cxxopts::value<std::string>()->default_value(it.initial()));
    }
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help() << '\n';
            return std::nullopt;
        }
        if (parsed.count("version") > 0) {
            std::cout << program_ << ' ' << IBISDYKE_VERSION << '\n';
            return std::nullopt;
        }
        if (!parsed.unmatched().empty())
            throw core::invalid_input("argument", parsed.unmatched().front(), "flags only");
        const auto explicit_value = [&parsed](const std::string& flag) -> std::optional<std::string> {
            const auto* const variable = std::getenv(variable_name(flag).c_str());
            if (parsed.count(flag) > 0)
                return parsed[flag].as<std::string>();
            return variable != nullptr ? std::optional<std::string>(variable) : std::nullopt;
        };
        const auto file_values = read_settings_file(explicit_value(settings_file_flag).value_or(""));
        std::map<std::string, std::string> values;
        for (const auto& flag : flags_) {
            const auto from_file = file_values.find(flag);
            const auto& fallback = from_file == file_values.end() ? parsed[flag].as<std::string>() : from_file->second;
            auto value = explicit_value(flag).value_or(fallback);
            declarations_.at(flag)->check(flag, value);
            values.emplace(flag, std::move(value));
        }
        return setting_values(std::move(values));
    } catch (const cxxopts::exceptions::exception& it) {
        throw core::invalid_input("arguments", it.what(), "the flags that --help lists");
    }
}

std::map<std::string, std::string> settings_parser::read_settings_file(const std::string& path) const
{
    if (path.empty())
        return {};
    auto result = parse_settings_file(read_file(path));
    for (const auto& [flag, value] : result) {
        if (!declarations_.contains(flag))
            throw core::invalid_input("--settings-file", flag, "the flags that --help lists");
    }
    return result;
}

std::string settings_parser::variable_name(const std::string& flag)
{
    std::string result = "IBISDYKE_";
    std::transform(flag.begin(), flag.end(), std::back_inserter(result),
        [](unsigned char c) { return c == '-' ? '_' : static_cast<char>(std::toupper(c)); });
    return result;
}

} // namespace ibisdyke::settings
