#include "ibisdyke/frontends/requests/attempt_stream.h"

#include "ibisdyke/frontends/requests/request_headers.h"

namespace ibisdyke::frontends {

attempt_stream::attempt_stream(std::weak_ptr<attempt_owner> owner)
    : owner_(std::move(owner))
{
}

void attempt_stream::on_headers(const transport::header_list& head, transport::end_of_stream end)
{
    const auto owner = owner_.lock();
    if (!owner)
        return;
    inspect_head(head, evidence_);
    evidence_.stated_verdict = read_verdict_head(head);
    if (evidence_.wrong_attempt_id || evidence_.stated_verdict)
        return;
    evidence_.answer_started = true;
    evidence_.answer_ended = end == transport::end_of_stream::yes;
    owner->on_answer_head(head, end);
}

void attempt_stream::on_data(std::string_view bytes, transport::end_of_stream end)
{
    const auto owner = owner_.lock();
    if (!owner || !evidence_.answer_started) {
        if (stream_)
            stream_->acknowledge(bytes.size());
        return;
    }
    evidence_.answer_ended = evidence_.answer_ended || end == transport::end_of_stream::yes;
    owner->on_answer_data(bytes, end);
}

void attempt_stream::on_drained()
{
    if (const auto owner = owner_.lock())
        owner->on_attempt_drained();
}

void attempt_stream::on_closed(transport::close_reason reason)
{
    stream_.reset();
    on_stream_closed();
    evidence_.ending = to_attempt_ending(reason);
    // The owner may release the last reference to this object during the call.
    const auto evidence = evidence_;
    if (const auto owner = std::exchange(owner_, {}).lock())
        owner->on_attempt_ended(evidence);
}

} // namespace ibisdyke::frontends
