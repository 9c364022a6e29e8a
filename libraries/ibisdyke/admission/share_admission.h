#pragma once

#include "ibisdyke/admission/admission_policy.h"
#include "ibisdyke/admission/fair_queue.h"
#include "ibisdyke/admission/load_limit.h"

#include <map>
#include <memory>

namespace ibisdyke::admission {

/// The admission policy for production use. Limits the running requests according to cold starts and refusals, divides
/// the slots among the neighbours by weighted max-min fairness, and has a short queue that serves the newest request
/// first under overload.
class share_admission final : public admission_policy {
public:
    static std::unique_ptr<admission_policy> create(const admission_settings& settings);

    explicit share_admission(const admission_settings& settings);

    void configure(const admission_settings& settings, core::time_point now) override;
    void begin_cold_start(core::time_point now) override;
    admission_decision offer(const work& it, core::time_point now) override;
    void on_answer(work_id id, core::time_point now) override;
    admission_decision finish(work_id id, work_outcome outcome, core::time_point now) override;
    admission_decision withdraw(work_id id, core::time_point now) override;
    admission_decision advance(core::time_point now) override;
    std::optional<core::time_point> next_event() const override { return queue_.next_expiry(); }
    double flows_per_second(core::time_point now) const override { return limit_.flows_per_second(now); }
    admission_status status(core::time_point now) const override;

private:
    struct running_work {
        core::neighbour neighbour;
        core::time_point started_at;
    };

    load_limit limit_;
    fair_queue queue_;
    std::map<work_id, running_work> running_;
};

} // namespace ibisdyke::admission
