#include "ibisdyke/frontends/process/settings_watcher.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/core/time.h"
#include "ibisdyke/observability/log.h"

#include <utility>

namespace ibisdyke::frontends {

namespace {

constexpr core::milliseconds check_period{1000};

} // namespace

settings_watcher::settings_watcher(const settings::settings_source& source, change_callback on_change, QObject* parent)
    : QObject(parent)
    , source_(source)
    , on_change_(std::move(on_change))
    , last_text_(source.read_file())
{
    if (last_text_.empty())
        return;
    connect(&timer_, &QTimer::timeout, this, &settings_watcher::check);
    timer_.start(check_period);
}

void settings_watcher::check()
{
    try {
        auto text = source_.read_file();
        if (text == last_text_)
            return;
        last_text_ = std::move(text);
        on_change_(source_.reload());
        observability::write_log(
            observability::log_level::info, "settings_reloaded", {{"bytes", std::uint64_t{last_text_.size()}}});
    } catch (const core::error& it) {
        observability::write_log(observability::log_level::error, "settings_refused", {{"error", it.what()}});
    }
}

} // namespace ibisdyke::frontends
