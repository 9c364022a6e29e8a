#pragma once

#include "ibisdyke/accounting/usage_state.h"
#include "ibisdyke/core/time.h"

#include <cstddef>
#include <map>
#include <optional>

namespace ibisdyke::accounting {

/// Collects the reports that the leader receives into one batch for each period. At most one batch is in progress.
///
///     collector.add_report(report, recorded);
///     if (auto batch = collector.take_batch(recorded, now, wall_now))
///         append(*batch, [&](bool committed) { collector.finish_batch(committed); });
class usage_collector {
public:
    struct limits {
        core::milliseconds period{2000};
        /// About 0.6 MB when encoded. The design size has 9,300 agents in use.
        std::size_t max_batch_entries = 16'384;
        /// The maximum number of entries in a report. An agent serves one service, so its reports of 25 hours cover at
        /// most some 160 neighbours.
        std::size_t max_report_entries = 4096;
        /// The maximum number of entries that wait for a later batch.
        std::size_t max_waiting_entries = 131'072;
    };

    usage_collector(const limits& bounds, core::time_point now)
        : limits_(bounds)
        , last_taken_(now)
    {
    }

    /// Adds the part of a report that is not in `recorded` yet to the waiting usage. Returns false if the report is
    /// refused because it is too large or too many entries wait.
    bool add_report(const usage_report& report, const usage_state& recorded);

    /// Returns the batch to append, or nothing if none is due. Reports that exceed the size limit of a batch wait for
    /// the next one, which begins with the first incarnation that was left out.
    std::optional<usage_batch> take_batch(const usage_state& recorded, core::time_point now, core::wall_time wall_now);

    /// Ends the batch in progress. If it was not committed, or if this is unknown, its reports wait again. A report may
    /// be appended twice, because merge() takes the maximum of each counter.
    void finish_batch(bool committed);

private:
    void add_waiting(const usage_report& report);

    limits limits_;
    core::time_point last_taken_;
    std::map<core::incarnation, usage_report> waiting_;
    std::size_t waiting_entries_ = 0;
    /// The first incarnation that the last batch left out. The next batch begins with it.
    core::incarnation next_source_;
    std::optional<usage_batch> in_progress_;
};

} // namespace ibisdyke::accounting
