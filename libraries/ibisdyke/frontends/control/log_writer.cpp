#include "ibisdyke/frontends/control/log_writer.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/observability/log.h"
#include "ibisdyke/transport/clock.h"

#include <QTimer>

#include <utility>

namespace ibisdyke::frontends {

log_writer::log_writer(replication::log_storage& storage, std::uint64_t recorded_commit, log_writer_observer& observer,
    observability::counter_sink& counters, QObject* parent)
    : QObject(parent)
    , storage_(storage)
    , observer_(observer)
    , counters_(counters)
    , committed_(recorded_commit)
    , recorded_commit_(recorded_commit)
{
}

void log_writer::add(const replication::write_batch& writes)
{
    if (writes.empty())
        return;
    if (unwritten_.empty() || unwritten_.back().base || writes.base)
        unwritten_.emplace_back();
    auto& joined = unwritten_.back();
    if (writes.ballot)
        joined.ballot = writes.ballot;
    if (writes.base)
        joined.base = writes.base;
    joined.entries.insert(joined.entries.end(), writes.entries.begin(), writes.entries.end());
}

bool log_writer::write_out(std::uint64_t committed)
{
    committed_ = committed;
    try {
        for (; !unwritten_.empty(); unwritten_.pop_front())
            write_first();
        return true;
    } catch (const core::storage_full& e) {
        wait_for_room(e.what());
    } catch (const std::exception& e) {
        fail(e.what());
    }
    return false;
}

void log_writer::write_first()
{
    auto& batch = unwritten_.front();
    batch.committed = committed_;
    const auto begin = transport::read_clock();
    storage_.persist(batch);
    recorded_commit_ = committed_;
    counters_.add("log_syncs", 1);
    counters_.sample("log_sync_ms", std::chrono::duration<double, std::milli>(transport::read_clock() - begin).count());
}

void log_writer::wait_for_room(const std::string& why)
{
    if (std::exchange(state_, storage_state::full) != storage_state::full) {
        counters_.add("storage_full", 1);
        observability::write_log(observability::log_level::error, "storage_full", {{"error", why}});
        observer_.on_storage_full();
    }
    QTimer::singleShot(replication::full_storage_retry_period, this, [this] {
        if (!write_out(committed_))
            return;
        state_ = storage_state::usable;
        observability::write_log(observability::log_level::info, "storage_has_room", {});
        observer_.on_space_available();
    });
}

void log_writer::fail(const std::string& why)
{
    state_ = storage_state::failed;
    observability::write_log(observability::log_level::error, "storage_failed", {{"error", why}});
    observer_.on_storage_failure(why);
}

} // namespace ibisdyke::frontends
