#include "ibisdyke/configuration/validation.h"

#include "ibisdyke/core/error.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace ibisdyke::configuration {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_name_length = 64; // characters
constexpr std::size_t max_neighbours = 1000;
constexpr std::size_t max_addresses = 1200; // the number of addresses of all services in the design size
constexpr std::uint32_t max_weight = 10'000;
constexpr std::uint32_t max_queue_per_slot = 1000;
constexpr std::size_t digest_length = 64; // hexadecimal digits
constexpr core::milliseconds max_duration = 24h;

void check_ratio(const std::string& field, double value)
{
    if (!(value >= 0 && value <= 1))
        throw core::invalid_input(field, std::to_string(value), "a number from 0 to 1");
}

void check_duration(const std::string& field, core::milliseconds value)
{
    if (value < 0ms || value > max_duration)
        throw core::invalid_input(
            field, std::to_string(value.count()), "milliseconds from 0 to " + std::to_string(max_duration.count()));
}

void check_range(const std::string& field, std::uint32_t value, std::uint32_t min, std::uint32_t max)
{
    if (value < min || value > max)
        throw core::invalid_input(
            field, std::to_string(value), "a whole number from " + std::to_string(min) + " to " + std::to_string(max));
}

void check_count(const std::string& field, std::size_t value, std::size_t max)
{
    if (value > max)
        throw core::invalid_input(field, std::to_string(value) + " entries", "at most " + std::to_string(max));
}

bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
        || c == '-';
}

bool is_hex_digit(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

std::string element_path(const std::string& list, std::size_t index, const std::string& field)
{
    return list + "[" + std::to_string(index) + "]." + field;
}

} // namespace

bool is_valid_name(const std::string& name)
{
    return !name.empty() && name.size() <= max_name_length && std::all_of(name.begin(), name.end(), is_name_character);
}

void validate_name(const std::string& field, const std::string& name)
{
    if (!is_valid_name(name))
        throw core::invalid_input(field, name, valid_name);
}

void validate(const profile& it)
{
    validate_name("name", it.name);
    check_ratio("cold_start_share", it.cold_start_share);
    check_duration("cold_start_ramp_ms", it.cold_start_ramp);
    check_duration("drain_limit_ms", it.drain_limit);
    check_ratio("retry_budget", it.retry_budget);
    check_range("queue_per_slot", it.queue_per_slot, 0, max_queue_per_slot);
    check_duration("queue_age_limit_ms", it.queue_age_limit);
    check_ratio("mass_expiry_limit", it.mass_expiry_limit);
    check_count("neighbours", it.neighbours.size(), max_neighbours);
    std::set<core::neighbour> names;
    for (std::size_t i = 0; i < it.neighbours.size(); ++i) {
        const auto& share = it.neighbours[i];
        validate_name(element_path("neighbours", i, "name"), share.name.value());
        check_range(element_path("neighbours", i, "weight"), share.weight, 1, max_weight);
        if (!names.insert(share.name).second)
            throw core::invalid_input(
                element_path("neighbours", i, "name"), share.name.value(), "each neighbour at most once");
    }
}

void validate(const service& it)
{
    validate_name("name", it.name);
    validate_name("profile", it.profile);
    if (!it.owner.value().empty())
        validate_name("owner", it.owner.value());
    check_count("addresses", it.addresses.size(), max_addresses);
    std::set<service_address> seen;
    for (std::size_t i = 0; i < it.addresses.size(); ++i) {
        const auto& address = it.addresses[i];
        if (address.address.port == 0 || address.address.address == 0)
            throw core::invalid_input(element_path("addresses", i, "address"), to_string(address.address),
                "an IPv4 address and a port other than 0");
        if (!seen.insert(address).second)
            throw core::invalid_input(
                element_path("addresses", i, "address"), to_string(address.address), "each address at most once");
    }
}

void validate(const token& it)
{
    if (it.digest.size() != digest_length || !std::all_of(it.digest.begin(), it.digest.end(), is_hex_digit))
        throw core::invalid_input("digest", it.digest, "a SHA-256 digest of 64 lower-case hexadecimal digits");
    validate_name("neighbour", it.owner.value());
}

} // namespace ibisdyke::configuration
