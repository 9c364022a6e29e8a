#pragma once

#include "ibisdyke/admission/messages.h"

#include <optional>

namespace ibisdyke::admission {

/// Decides which requests an agent passes to its upstream, and when. Not thread-safe; `now` must never decrease.
class admission_policy {
public:
    virtual ~admission_policy() = default;

    /// Replaces the settings. Does not affect the running requests and the order of the waiting ones.
    virtual void configure(const admission_settings& settings, core::time_point now) = 0;

    /// Begins a cold start. Called when the upstream has announced itself or has returned after an absence.
    virtual void begin_cold_start(core::time_point now) = 0;

    /// Requests a slot. The decision contains the id of the offered request unless the request has to wait.
    virtual admission_decision offer(const work& it, core::time_point now) = 0;

    /// Called when the upstream has sent the head of the answer to a running request.
    virtual void on_answer(work_id id, core::time_point now) = 0;

    /// Called when a running request has ended. Frees its slot. Ignores unknown ids.
    virtual admission_decision finish(work_id id, work_outcome outcome, core::time_point now) = 0;

    /// Removes a waiting request that is no longer wanted. Ignores ids that are not waiting.
    virtual admission_decision withdraw(work_id id, core::time_point now) = 0;

    /// Sheds requests that have waited too long and starts as many requests as the limit now allows.
    virtual admission_decision advance(core::time_point now) = 0;

    /// Returns the time of the next call of advance() that is needed if no other event happens before.
    virtual std::optional<core::time_point> next_event() const = 0;

    /// Returns the number of new flows per second that the upstream may take now, or infinity when there is no limit.
    virtual double flows_per_second(core::time_point now) const = 0;

    virtual admission_status status(core::time_point now) const = 0;
};

} // namespace ibisdyke::admission
