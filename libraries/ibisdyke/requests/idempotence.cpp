#include "ibisdyke/requests/idempotence.h"

#include <algorithm>
#include <array>

namespace ibisdyke::requests {

idempotence classify_method(std::string_view method)
{
    static constexpr std::array<std::string_view, 5> idempotent{"GET", "HEAD", "PUT", "DELETE", "OPTIONS"};
    const auto found = std::find(idempotent.begin(), idempotent.end(), method) != idempotent.end();
    return found ? idempotence::idempotent : idempotence::not_idempotent;
}

} // namespace ibisdyke::requests
