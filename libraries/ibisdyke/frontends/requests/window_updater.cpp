#include "ibisdyke/frontends/requests/window_updater.h"

#include <utility>

namespace ibisdyke::frontends {

void window_updater::on_received(std::size_t n, const transport::http2_stream* sink)
{
    unacknowledged_bytes_ += n;
    if (sink != nullptr && sink->unsent_bytes() <= low_watermark_bytes)
        acknowledge();
}

void window_updater::acknowledge()
{
    const auto n = std::exchange(unacknowledged_bytes_, 0);
    if (n > 0 && source_)
        source_->acknowledge(n);
}

std::size_t stalled_reader_detector::observe(std::size_t unsent_bytes)
{
    const auto stalled = unsent_bytes > 0 && unsent_bytes == std::exchange(last_unsent_, unsent_bytes);
    stalled_intervals_ = stalled ? stalled_intervals_ + 1 : 0;
    return stalled_intervals_;
}

} // namespace ibisdyke::frontends
