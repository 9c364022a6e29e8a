#include "ibisdyke/frontends/requests/usage_meter.h"

#include "ibisdyke/accounting/wire/codec.h"
#include "ibisdyke/transport/clock.h"

namespace ibisdyke::frontends {

void usage_meter::add(
    const core::neighbour& neighbour, const std::string& service, const accounting::usage_counters& used)
{
    const auto now = transport::read_wall_clock();
    const std::scoped_lock lock(mutex_);
    counter_.add(neighbour, service, used, now);
}

std::string usage_meter::take_report(core::time_point now)
{
    const std::scoped_lock lock(mutex_);
    const bool repeat_is_due = counter_.changes() > 0 && now - last_report_at_ >= repeat_period;
    if (counter_.changes() == reported_changes_ && !repeat_is_due)
        return {};
    reported_changes_ = counter_.changes();
    last_report_at_ = now;
    return encode(counter_.report());
}

accounting::usage_report usage_meter::report() const
{
    const std::scoped_lock lock(mutex_);
    return counter_.report();
}

} // namespace ibisdyke::frontends
