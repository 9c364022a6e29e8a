#include "ibisdyke/requests/attempt_decision.h"

namespace ibisdyke::requests {

core::verdict judge_attempt(const attempt_evidence& seen)
{
    if (seen.wrong_attempt_id)
        return core::verdict::may_have_run;
    // An answer proves that the upstream processed the request, whatever error code closed the stream.
    if (seen.answer_started)
        return seen.answer_ended ? core::verdict::answered : core::verdict::may_have_run;
    if (seen.stated_verdict)
        return *seen.stated_verdict == core::verdict::not_run ? core::verdict::not_run : core::verdict::may_have_run;
    // An interim response shows that the upstream accepted the request.
    if (seen.interim_seen)
        return core::verdict::may_have_run;
    return seen.ending == attempt_ending::refused ? core::verdict::not_run : core::verdict::may_have_run;
}

std::optional<core::verdict> parse_verdict(std::string_view text)
{
    for (const auto it : {core::verdict::answered, core::verdict::not_run, core::verdict::may_have_run}) {
        if (text == to_string(it))
            return it;
    }
    return std::nullopt;
}

next_step decide_next(const request_progress& progress, core::verdict attempt)
{
    if (progress.cancelled)
        return next_step::drop;
    if (attempt == core::verdict::answered)
        return next_step::finish;
    if (progress.answer_relayed)
        return next_step::reset_caller;
    const auto safe_to_repeat = attempt == core::verdict::not_run || progress.kind == idempotence::idempotent;
    if (safe_to_repeat && progress.replayable && !progress.deadline_passed)
        return next_step::retry;
    return decide_without_retry(progress, attempt);
}

next_step decide_without_retry(const request_progress& progress, core::verdict attempt)
{
    const auto has_not_run = attempt == core::verdict::not_run && !progress.may_have_run;
    return has_not_run ? next_step::report_not_run : next_step::report_may_have_run;
}

} // namespace ibisdyke::requests
