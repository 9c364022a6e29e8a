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
    check_head(head, seen_);
    seen_.stated = stated_verdict(head);
    if (seen_.foreign || seen_.stated)
        return;
    seen_.answer_started = true;
    seen_.answer_ended = end == transport::end_of_stream::yes;
    owner->on_answer_head(head, end);
}

void attempt_stream::on_data(std::string_view bytes, transport::end_of_stream end)
{
    const auto owner = owner_.lock();
    if (!owner || !seen_.answer_started) {
        if (stream_)
            stream_->acknowledge(bytes.size());
        return;
    }
    seen_.answer_ended = seen_.answer_ended || end == transport::end_of_stream::yes;
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
    on_stream_ended();
    seen_.ending = to_ending(reason);
    // The owner may drop the last reference to this stream meanwhile.
    const auto seen = seen_;
    if (const auto owner = std::exchange(owner_, {}).lock())
        owner->on_attempt_ended(seen);
}

} // namespace ibisdyke::frontends
