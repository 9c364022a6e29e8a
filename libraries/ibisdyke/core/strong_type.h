#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace ibisdyke::core {

/// Wraps a Value in a distinct type for each Tag. Prevents the accidental use of one kind of value as another kind with
/// the same representation.
template <typename Value, typename Tag>
class strong_type {
public:
    strong_type() = default;
    explicit strong_type(Value value)
        : value_(std::move(value))
    {
    }

    const Value& value() const { return value_; }

    friend bool operator==(const strong_type&, const strong_type&) = default;
    friend auto operator<=>(const strong_type&, const strong_type&) = default;

private:
    Value value_{};
};

} // namespace ibisdyke::core

template <typename Value, typename Tag>
struct std::hash<ibisdyke::core::strong_type<Value, Tag>> {
    std::size_t operator()(const ibisdyke::core::strong_type<Value, Tag>& it) const noexcept
    {
        return std::hash<Value>{}(it.value());
    }
};
