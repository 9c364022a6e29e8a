#include "ibisdyke/requests/retry_budget.h"

namespace ibisdyke::requests {

namespace {

std::int64_t to_second(core::time_point now)
{
    return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
}

} // namespace

void retry_budget::on_request(core::time_point now)
{
    ++current_slot(now).requests;
}

bool retry_budget::take(core::time_point now)
{
    auto& current = current_slot(now);
    const auto oldest = current.second - static_cast<std::int64_t>(window_seconds);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const auto& it : slots_) {
        if (it.second <= oldest)
            continue;
        requests += it.requests;
        retries += it.retries;
    }
    const auto allowed = share_ * static_cast<double>(requests) + base_per_second * double{window_seconds};
    if (static_cast<double>(retries) + 1 > allowed)
        return false;
    ++current.retries;
    return true;
}

retry_budget::slot& retry_budget::current_slot(core::time_point now)
{
    const auto second = to_second(now);
    auto& it = slots_.at(static_cast<std::size_t>(second) % window_seconds);
    if (it.second != second)
        it = {second, 0, 0};
    return it;
}

} // namespace ibisdyke::requests
