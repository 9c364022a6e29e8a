#include "ibisdyke/requests/wire/codec.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/core/wire/message.h"
#include "ibisdyke/requests/wire/requests.pb.h"

namespace ibisdyke::requests {

namespace {

wire::LookupStatus to_wire(lookup_status it)
{
    switch (it) {
    case lookup_status::absent:
        return wire::LOOKUP_STATUS_ABSENT;
    case lookup_status::claimed:
        return wire::LOOKUP_STATUS_CLAIMED;
    case lookup_status::answered:
        return wire::LOOKUP_STATUS_ANSWERED;
    case lookup_status::unknown:
        break;
    }
    return wire::LOOKUP_STATUS_UNKNOWN;
}

lookup_status from_wire(wire::LookupStatus it)
{
    switch (it) {
    case wire::LOOKUP_STATUS_ABSENT:
        return lookup_status::absent;
    case wire::LOOKUP_STATUS_CLAIMED:
        return lookup_status::claimed;
    case wire::LOOKUP_STATUS_ANSWERED:
        return lookup_status::answered;
    case wire::LOOKUP_STATUS_UNKNOWN:
        return lookup_status::unknown;
    default:
        throw core::malformed_message("lookup answer has an unknown status");
    }
}

void write(const agent_instance& it, wire::AgentRun& message)
{
    message.set_agent(it.agent.value());
    message.set_run(it.incarnation.value());
}

agent_instance read(const wire::AgentRun& message)
{
    return {core::upstream_id(message.agent()), core::incarnation(message.run())};
}

} // namespace

std::string encode(const lookup_query& it)
{
    wire::LookupQuery message;
    message.mutable_key()->set_owner(it.key.owner.value());
    message.mutable_key()->set_key(it.key.key);
    message.set_service(it.service.value());
    message.set_asker(it.asker.value());
    if (it.first_sent)
        message.set_first_sent_ms(it.first_sent->time_since_epoch().count());
    message.set_patience_ms(it.max_wait.count());
    message.set_first_send(it.order == send_order::first);
    message.set_asker_run(it.asker_incarnation.value());
    return message.SerializeAsString();
}

std::string encode(const lookup_answer& it)
{
    wire::LookupAnswer message;
    message.set_status(to_wire(it.status));
    write(it.peer, *message.mutable_peer());
    message.set_records_lost(it.records_lost);
    message.set_claims_lost(it.claims_lost);
    for (const auto& claimant : it.claimants)
        write(claimant, *message.add_claimants());
    if (it.answer) {
        auto* const answer = message.mutable_answer();
        answer->set_body(it.answer->body);
        for (const auto& [name, value] : it.answer->headers) {
            auto* const field = answer->add_headers();
            field->set_name(name);
            field->set_value(value);
        }
    }
    return message.SerializeAsString();
}

lookup_query decode_lookup_query(std::string_view bytes)
{
    const auto message = core::wire::parse<wire::LookupQuery>(bytes);
    lookup_query result;
    result.key = {core::neighbour(message.key().owner()), message.key().key()};
    result.service = core::service_id(message.service());
    result.asker = core::upstream_id(message.asker());
    if (message.has_first_sent_ms())
        result.first_sent = core::wall_time(core::milliseconds(message.first_sent_ms()));
    result.max_wait = core::milliseconds(message.patience_ms());
    result.order = message.first_send() ? send_order::first : send_order::unknown;
    result.asker_incarnation = core::incarnation(message.asker_run());
    return result;
}

lookup_answer decode_lookup_answer(std::string_view bytes)
{
    const auto message = core::wire::parse<wire::LookupAnswer>(bytes);
    lookup_answer result;
    result.status = from_wire(message.status());
    result.peer = read(message.peer());
    result.records_lost = message.records_lost();
    result.claims_lost = message.claims_lost();
    for (const auto& claimant : message.claimants())
        result.claimants.push_back(read(claimant));
    if (result.status != lookup_status::answered)
        return result;
    if (!message.has_answer())
        throw core::malformed_message("lookup answer with status `answered` has no stored answer");
    stored_answer answer;
    answer.body = message.answer().body();
    for (const auto& field : message.answer().headers())
        answer.headers.emplace_back(field.name(), field.value());
    result.answer = std::move(answer);
    return result;
}

} // namespace ibisdyke::requests
