#include "ibisdyke/frontends/requests/body_relay.h"

#include <utility>

namespace ibisdyke::frontends {

void body_relay::on_received(std::size_t n, const transport::http2_stream* sink)
{
    owed_bytes_ += n;
    if (sink != nullptr && sink->unsent_bytes() <= reserve_bytes)
        release();
}

void body_relay::release()
{
    const auto n = std::exchange(owed_bytes_, 0);
    if (n > 0 && source_)
        source_->acknowledge(n);
}

std::size_t stall_watch::observe(std::size_t unsent_bytes)
{
    const auto stalled = unsent_bytes > 0 && unsent_bytes == std::exchange(last_unsent_, unsent_bytes);
    intervals_ = stalled ? intervals_ + 1 : 0;
    return intervals_;
}

} // namespace ibisdyke::frontends
