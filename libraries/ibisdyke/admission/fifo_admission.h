#pragma once

#include "ibisdyke/admission/admission_policy.h"

#include <deque>
#include <memory>
#include <set>

namespace ibisdyke::admission {

/// Baseline for comparison. Uses all slots at any time and one first-in-first-out queue for all neighbours, without
/// shares or an age limit.
class fifo_admission final : public admission_policy {
public:
    /// `queue_limit` is the maximum number of waiting requests.
    static std::unique_ptr<admission_policy> create(std::uint32_t slots, std::uint32_t queue_limit);

    fifo_admission(std::uint32_t slots, std::uint32_t queue_limit);

    void configure(const admission_settings& settings, core::time_point now) override;
    void begin_cold_start(core::time_point) override { }
    admission_decision offer(const work& it, core::time_point now) override;
    void on_answer(work_id, core::time_point) override { }
    admission_decision finish(work_id id, work_outcome outcome, core::time_point now) override;
    admission_decision withdraw(work_id id, core::time_point now) override;
    admission_decision advance(core::time_point now) override;
    std::optional<core::time_point> next_event() const override { return std::nullopt; }
    double flows_per_second(core::time_point now) const override;
    admission_status status(core::time_point now) const override;

private:
    std::uint32_t slots_;
    std::uint32_t queue_limit_;
    std::deque<work_id> waiting_;
    std::set<work_id> running_;
};

} // namespace ibisdyke::admission
