#pragma once

#include "ibisdyke/routing/routing_table.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ibisdyke::routing::wire {

/// The part of the packet header that depends on the chain, encoded for every chain of a table. Immutable. Contains
/// nothing that depends on the table's version, so that consecutive tables share the encoding of unchanged services.
class encoded_chains {
public:
    /// `previous` holds the encoded chains of `previous_table`. Both are null for the first table.
    static std::shared_ptr<const encoded_chains> create(const routing_table& table,
        const std::shared_ptr<const encoded_chains>& previous,
        const std::shared_ptr<const routing_table>& previous_table);

    /// Returns the encoded header part of a chain. `service` is an index in the table's services(), `chain` an index in
    /// the service's chains().
    std::string_view find(std::uint32_t service, std::uint16_t chain) const
    {
        const auto& it = *services_[service];
        return std::string_view(it.bytes).substr(it.offsets[chain], it.offsets[chain + 1] - it.offsets[chain]);
    }

    /// Returns an estimate of the memory held.
    std::size_t size_bytes() const;

private:
    struct service_headers {
        std::string bytes;
        /// The offset in `bytes` of each chain's header, followed by the end of the last header.
        std::vector<std::uint32_t> offsets;
    };

    std::vector<std::shared_ptr<const service_headers>> services_;
};

} // namespace ibisdyke::routing::wire
