#include "ibisdyke/dissemination/source_selector.h"

#include <algorithm>
#include <utility>

namespace ibisdyke::dissemination {

namespace {

/// Relays and peers tried in one round. A larger number would delay the return to control processes that have
/// recovered.
constexpr std::size_t peers_per_round = 3;

} // namespace

source_selector::source_selector(std::vector<core::endpoint> controls, std::vector<core::endpoint> peers,
    std::optional<core::endpoint> own, std::size_t start)
    : controls_(std::move(controls))
    , peers_(std::move(peers))
    , own_endpoint_(own)
    , next_control_index_(start)
    , next_peer_index_(start)
{
}

void source_selector::on_redirect(const core::endpoint& target)
{
    if (target != own_endpoint_)
        redirect_target_ = target;
}

void source_selector::on_failure(const core::endpoint& source, core::time_point now)
{
    std::erase_if(last_failures_, [&](const auto& it) { return now - it.second >= avoid_time; });
    last_failures_.insert_or_assign(source, now);
}

void source_selector::on_success(const core::endpoint& source)
{
    last_failures_.erase(source);
    round_position_ = 0;
}

bool source_selector::is_avoided(const core::endpoint& source, core::time_point now) const
{
    const auto found = last_failures_.find(source);
    return found != last_failures_.end() && now - found->second < avoid_time;
}

std::optional<core::endpoint> source_selector::next_control(core::time_point now)
{
    const auto n = controls_.size();
    if (n == 0)
        return std::nullopt;
    for (std::size_t i = 0; i < n; ++i) {
        const auto& it = controls_[(next_control_index_ + i) % n];
        if (!is_avoided(it, now)) {
            next_control_index_ = (next_control_index_ + i + 1) % n;
            return it;
        }
    }
    const auto& it = controls_[next_control_index_ % n];
    next_control_index_ = (next_control_index_ + 1) % n;
    return it;
}

std::optional<core::endpoint> source_selector::next_peer(core::time_point now)
{
    auto candidates = relays_;
    for (const auto& it : peers_) {
        if (std::find(candidates.begin(), candidates.end(), it) == candidates.end())
            candidates.push_back(it);
    }
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                         [&](const auto& it) { return it == own_endpoint_ || is_avoided(it, now); }),
        candidates.end());
    if (candidates.empty())
        return std::nullopt;
    return candidates[next_peer_index_++ % candidates.size()];
}

std::optional<core::endpoint> source_selector::next(core::time_point now)
{
    if (const auto target = std::exchange(redirect_target_, std::nullopt))
        return target;
    const auto n = controls_.size();
    if (round_position_ >= n + peers_per_round)
        round_position_ = 0;
    if (round_position_++ >= n) {
        if (const auto peer = next_peer(now))
            return peer;
        round_position_ = 1;
    }
    if (const auto control = next_control(now))
        return control;
    return next_peer(now);
}

std::vector<core::endpoint> source_selector::avoided(core::time_point now) const
{
    std::vector<core::endpoint> result;
    for (const auto& [source, at] : last_failures_) {
        const bool is_control = std::find(controls_.begin(), controls_.end(), source) != controls_.end();
        if (!is_control && is_avoided(source, now))
            result.push_back(source);
    }
    return result;
}

} // namespace ibisdyke::dissemination
