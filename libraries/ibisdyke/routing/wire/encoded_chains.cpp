#include "ibisdyke/routing/wire/encoded_chains.h"

#include "ibisdyke/routing/service_cursor.h"
#include "ibisdyke/routing/wire/codec.h"

#include <utility>

namespace ibisdyke::routing::wire {

std::shared_ptr<const encoded_chains> encoded_chains::create(const routing_table& table,
    const std::shared_ptr<const encoded_chains>& previous, const std::shared_ptr<const routing_table>& previous_table)
{
    const auto result = std::make_shared<encoded_chains>();
    service_cursor previous_services(previous_table.get());
    for (const auto& it : table.services()) {
        const auto& id = it->service().id;
        const auto previous_index = previous_services.find(id);
        if (previous_index && previous_table->services()[*previous_index] == it) {
            result->services_.push_back(previous->services_[*previous_index]);
            continue;
        }
        auto headers = std::make_shared<service_headers>();
        headers->offsets.reserve(it->chains().size() + 1);
        headers->offsets.push_back(0);
        for (const auto& chain : it->chains()) {
            headers->bytes += encode_chain(id, chain);
            headers->offsets.push_back(static_cast<std::uint32_t>(headers->bytes.size()));
        }
        headers->bytes.shrink_to_fit();
        result->services_.push_back(std::move(headers));
    }
    return result;
}

std::size_t encoded_chains::size_bytes() const
{
    std::size_t result = sizeof(*this) + services_.capacity() * sizeof(services_[0]);
    for (const auto& it : services_)
        result += sizeof(*it) + it->bytes.capacity() + it->offsets.capacity() * sizeof(it->offsets[0]);
    return result;
}

} // namespace ibisdyke::routing::wire
