#pragma once

#include <cstddef>

namespace ibisdyke::replication {

/// The voters of a group, and how many of them are known to have lost their data folder. A folder is known to be lost
/// once the process of this member answers a current request from another folder than the recorded one.
struct voter_counts {
    std::size_t voters = 0;
    std::size_t lost = 0;

    friend bool operator==(const voter_counts&, const voter_counts&) = default;
};

/// Whether half of this number of voters can be a quorum. One of two voters must not decide alone: what it commits
/// would be on one disk.
constexpr bool allows_half(std::size_t voters)
{
    constexpr std::size_t min_voters = 4;
    return voters % 2 == 0 && voters >= min_voters;
}

/// Returns how many of the voters with intact folders must agree: more than half of all voters, or exactly half if a
/// folder is known to be lost and the number of voters is even and at least 4. A lost folder grants and acknowledges
/// nothing any more, so every majority that ever agreed has at least half of all voters among the others. It therefore
/// shares a voter with each half of all voters that leaves out the lost one, as two such halves do.
/// docs/decisions/replication.md, "Lost folders", has the conditions.
constexpr std::size_t quorum_size(const voter_counts& it)
{
    return it.lost > 0 && allows_half(it.voters) ? it.voters / 2 : it.voters / 2 + 1;
}

} // namespace ibisdyke::replication
