#include "ibisdyke/membership/liveness_evidence.h"

namespace ibisdyke::membership {

std::size_t liveness_evidence::add(const upstream_run& run, std::uint64_t sequence, core::time_point now)
{
    if (!last_ || last_->run != run)
        last_ = counted_announcement{run, sequence, now, 1};
    else if (sequence > last_->sequence && now - last_->received_at >= min_gap_)
        last_ = counted_announcement{run, sequence, now, last_->count + 1};
    return last_->count;
}

} // namespace ibisdyke::membership
