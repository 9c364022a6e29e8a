#include "ibisdyke/replication/raft_log.h"

#include <algorithm>

namespace ibisdyke::replication {

namespace {

std::size_t estimated_bytes(const entry& it)
{
    constexpr std::size_t fixed_bytes = 64;
    return fixed_bytes + it.command.size() + it.configuration.members.size() * fixed_bytes;
}

} // namespace

raft_log::raft_log(const stored_state& stored)
    : base_(stored.base)
{
    if (base_)
        start_ = base_->last;
    configurations_.emplace_back(start_.index, base_ ? base_->configuration : group_configuration{});
    for (const auto& it : stored.entries)
        append(it);
}

std::uint64_t raft_log::term_at(std::uint64_t index) const
{
    if (index == start_.index)
        return start_.term;
    if (index < start_.index || index > last().index)
        return 0;
    return at(index).at.term;
}

bool raft_log::contains(const core::version& position) const
{
    return position.index >= start_.index && position.index <= last().index && term_at(position.index) == position.term;
}

const entry& raft_log::at(std::uint64_t index) const
{
    return entries_.at(index - start_.index - 1);
}

std::vector<entry> raft_log::slice(std::uint64_t first, std::size_t max_bytes) const
{
    std::vector<entry> result;
    std::size_t total_bytes = 0;
    for (auto i = first; i <= last().index; ++i) {
        const auto& it = at(i);
        total_bytes += estimated_bytes(it);
        if (!result.empty() && total_bytes > max_bytes)
            break;
        result.push_back(it);
    }
    return result;
}

void raft_log::append(entry added)
{
    const auto index = added.at.index;
    if (index <= last().index)
        entries_.resize(index - start_.index - 1);
    while (configurations_.size() > 1 && configurations_.back().first >= index)
        configurations_.pop_back();
    if (added.kind == entry_kind::configuration)
        configurations_.emplace_back(index, added.configuration);
    entries_.push_back(std::move(added));
}

/// Returns the index before the first entry to retain if the log up to `last` is compacted.
std::uint64_t raft_log::trailing_start(std::uint64_t last, const trailing_limits& max_trailing) const
{
    auto result = last;
    std::size_t bytes = 0;
    while (result > start_.index && last - result < max_trailing.entries) {
        bytes += estimated_bytes(at(result));
        if (bytes > max_trailing.bytes)
            break;
        --result;
    }
    return result;
}

void raft_log::compact(snapshot_pointer base, const trailing_limits& max_trailing)
{
    const auto last = base->last;
    if (contains(last)) {
        const auto first = trailing_start(last.index, max_trailing);
        const core::version start{term_at(first), first};
        entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(first - start_.index));
        start_ = start;
    } else {
        entries_.clear();
        configurations_.clear();
        start_ = last;
    }
    std::erase_if(configurations_, [&](const auto& it) { return it.first <= last.index; });
    configurations_.insert(configurations_.begin(), {last.index, base->configuration});
    base_ = std::move(base);
}

const group_configuration& raft_log::configuration_at(std::uint64_t index) const
{
    const auto* result = &configurations_.front().second;
    for (const auto& [begin, configuration] : configurations_) {
        if (begin <= index)
            result = &configuration;
    }
    return *result;
}

} // namespace ibisdyke::replication
