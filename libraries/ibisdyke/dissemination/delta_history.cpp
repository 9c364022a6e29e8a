#include "ibisdyke/dissemination/delta_history.h"

#include <algorithm>
#include <iterator>

namespace ibisdyke::dissemination {

namespace {

using iterator = std::deque<delta>::const_iterator;

/// Merges the two halves recursively, so that the time for thousands of deltas grows with the number of their records
/// and not with its square.
delta merge_range(const iterator& begin, const iterator& end)
{
    const auto n = std::distance(begin, end);
    if (n == 1)
        return *begin;
    const auto middle = begin + n / 2;
    return merge(merge_range(begin, middle), merge_range(middle, end));
}

} // namespace

std::optional<delta> delta_history::push(const system_state_snapshot& next)
{
    if (!next || (latest_ && next->applied <= latest_->applied))
        return std::nullopt;
    if (!latest_) {
        latest_ = next;
        return std::nullopt;
    }
    auto added = difference(*latest_, *next);
    latest_ = next;
    bytes_ += memory_bytes(added);
    deltas_.push_back(added);
    while (!deltas_.empty() && (deltas_.size() > capacity_ || bytes_ > max_bytes_)) {
        bytes_ -= memory_bytes(deltas_.front());
        deltas_.pop_front();
    }
    return added;
}

std::optional<delta> delta_history::since(const core::version& version) const
{
    const auto begin = std::lower_bound(deltas_.begin(), deltas_.end(), version,
        [](const delta& it, const core::version& wanted) { return it.from < wanted; });
    if (begin == deltas_.end() || begin->from != version)
        return std::nullopt;
    return merge_range(begin, deltas_.end());
}

} // namespace ibisdyke::dissemination
