#pragma once

#include "ibisdyke/routing/routing_table.h"

#include <cstddef>
#include <optional>

namespace ibisdyke::routing {

/// Finds services of a table by id, if the ids are looked up in ascending order. All look-ups together take linear
/// time.
class service_cursor {
public:
    /// `table` may be null, and must outlive the object.
    explicit service_cursor(const routing_table* table)
        : table_(table)
    {
    }

    /// Returns the index of the service in routing_table::services(), or nothing if the table lacks it. `id` must not
    /// be lower than that of the last call.
    std::optional<std::size_t> find(const core::service_id& id)
    {
        if (table_ == nullptr)
            return std::nullopt;
        const auto& services = table_->services();
        while (index_ < services.size() && services[index_]->service().id < id)
            ++index_;
        if (index_ == services.size() || services[index_]->service().id != id)
            return std::nullopt;
        return index_;
    }

private:
    const routing_table* table_;
    std::size_t index_ = 0;
};

} // namespace ibisdyke::routing
