#include "ibisdyke/frontends/control/log_writer.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/observability/log.h"
#include "ibisdyke/transport/clock.h"

#include <QTimer>

#include <utility>

namespace ibisdyke::frontends {

log_writer::log_writer(replication::log_storage& storage, std::uint64_t recorded_commit_index,
    log_writer_observer& observer, observability::counter_sink& counters, QObject* parent)
    : QObject(parent)
    , storage_(storage)
    , observer_(observer)
    , counters_(counters)
    , commit_index_(recorded_commit_index)
    , recorded_commit_index_(recorded_commit_index)
{
}

void log_writer::add(const replication::write_batch& writes)
{
    if (writes.empty())
        return;
    if (pending_batches_.empty() || pending_batches_.back().base || writes.base)
        pending_batches_.emplace_back();
    auto& batch = pending_batches_.back();
    if (writes.vote)
        batch.vote = writes.vote;
    if (writes.base)
        batch.base = writes.base;
    batch.entries.insert(batch.entries.end(), writes.entries.begin(), writes.entries.end());
}

bool log_writer::flush(std::uint64_t commit_index)
{
    commit_index_ = commit_index;
    try {
        for (; !pending_batches_.empty(); pending_batches_.pop_front())
            persist_first_batch();
        return true;
    } catch (const core::storage_full& e) {
        handle_full_disk(e.what());
    } catch (const std::exception& e) {
        mark_failed(e.what());
    }
    return false;
}

void log_writer::persist_first_batch()
{
    auto& batch = pending_batches_.front();
    batch.commit_index = commit_index_;
    const auto begin = transport::read_clock();
    storage_.persist(batch);
    recorded_commit_index_ = commit_index_;
    counters_.add("log_syncs", 1);
    counters_.sample("log_sync_ms", std::chrono::duration<double, std::milli>(transport::read_clock() - begin).count());
}

void log_writer::handle_full_disk(const std::string& reason)
{
    if (std::exchange(state_, storage_state::full) != storage_state::full) {
        counters_.add("storage_full", 1);
        observability::write_log(observability::log_level::error, "storage_full", {{"error", reason}});
        observer_.on_storage_full();
    }
    QTimer::singleShot(replication::full_storage_retry_period, this, [this] {
        if (!flush(commit_index_))
            return;
        state_ = storage_state::usable;
        observability::write_log(observability::log_level::info, "storage_has_room", {});
        observer_.on_space_available();
    });
}

void log_writer::mark_failed(const std::string& reason)
{
    state_ = storage_state::failed;
    observability::write_log(observability::log_level::error, "storage_failed", {{"error", reason}});
    observer_.on_storage_failure(reason);
}

} // namespace ibisdyke::frontends
