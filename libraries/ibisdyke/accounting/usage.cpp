#include "ibisdyke/accounting/usage.h"

#include <algorithm>

namespace ibisdyke::accounting {

usage_counters maximum(const usage_counters& left, const usage_counters& right)
{
    return {
        std::max(left.flows, right.flows),
        std::max(left.packets, right.packets),
        std::max(left.bytes, right.bytes),
        std::max(left.requests, right.requests),
        std::max(left.slot_milliseconds, right.slot_milliseconds),
    };
}

usage_counters sum(const usage_counters& left, const usage_counters& right)
{
    return {
        left.flows + right.flows,
        left.packets + right.packets,
        left.bytes + right.bytes,
        left.requests + right.requests,
        left.slot_milliseconds + right.slot_milliseconds,
    };
}

} // namespace ibisdyke::accounting
