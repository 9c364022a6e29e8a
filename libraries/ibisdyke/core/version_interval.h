#pragma once

#include "ibisdyke/core/version.h"

#include <optional>

namespace ibisdyke::core {

/// A range of versions that includes `from` and excludes `to`. An interval without `to` has not ended yet.
struct version_interval {
    version from;
    std::optional<version> to;

    friend bool operator==(const version_interval&, const version_interval&) = default;
};

} // namespace ibisdyke::core
