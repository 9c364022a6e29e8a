#include "ibisdyke/configuration/authorization.h"

namespace ibisdyke::configuration {

bool has_access(const token& it, const service& requested)
{
    return it.assigned_role == role::administer || requested.owner.value().empty() || requested.owner == it.owner;
}

} // namespace ibisdyke::configuration
