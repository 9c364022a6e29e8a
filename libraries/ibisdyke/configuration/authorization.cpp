#include "ibisdyke/configuration/authorization.h"

namespace ibisdyke::configuration {

bool covers(const token& it, const service& requested)
{
    return it.granted == role::administer || requested.owner.value().empty() || requested.owner == it.owner;
}

} // namespace ibisdyke::configuration
