#include "ibisdyke/replication/wire/codec.h"

#include "ibisdyke/core/error.h"
#include "ibisdyke/core/wire/core_codec.h"
#include "ibisdyke/core/wire/message.h"
#include "ibisdyke/replication/wire/replication.pb.h"

namespace ibisdyke::replication::wire {

namespace {

using core::wire::from_wire;
using core::wire::parse;
using core::wire::to_enum;
using core::wire::to_wire;

void fill(Member& out, const member& it)
{
    out.set_id(it.id.value());
    out.set_disk(it.folder_incarnation.value());
    out.set_voter(it.role == member_role::voter);
    to_wire(it.peer_endpoint, *out.mutable_peer_endpoint());
    to_wire(it.admin_endpoint, *out.mutable_admin_endpoint());
}

member read(const Member& in)
{
    return {core::control_id(in.id()), core::incarnation(in.disk()),
        in.voter() ? member_role::voter : member_role::non_voter, from_wire(in.peer_endpoint()),
        from_wire(in.admin_endpoint())};
}

void fill(GroupConfiguration& out, const group_configuration& group)
{
    for (const auto& it : group.members)
        fill(*out.add_members(), it);
}

group_configuration read(const GroupConfiguration& in)
{
    group_configuration result;
    for (const auto& it : in.members())
        result.members.push_back(read(it));
    return result;
}

void fill(Entry& out, const entry& it)
{
    to_wire(it.at, *out.mutable_at());
    out.set_kind(static_cast<std::uint32_t>(it.kind));
    out.set_command(it.command);
    if (it.kind == entry_kind::configuration)
        fill(*out.mutable_configuration(), it.configuration);
}

entry read(const Entry& in)
{
    return {from_wire(in.at()), to_enum(in.kind(), entry_kind::configuration, "entry kind"), in.command(),
        read(in.configuration())};
}

void fill(Message& out, const vote_request& it)
{
    auto& body = *out.mutable_vote_request();
    body.set_kind(static_cast<std::uint32_t>(it.kind));
    body.set_term(it.term);
    to_wire(it.last, *body.mutable_last());
    body.set_campaign(it.campaign);
}

void fill(Message& out, const vote_answer& it)
{
    auto& body = *out.mutable_vote_answer();
    body.set_kind(static_cast<std::uint32_t>(it.kind));
    body.set_term(it.term);
    body.set_granted(it.granted);
    body.set_candidate_disk(it.candidate_folder_incarnation.value());
    body.set_campaign(it.campaign);
}

void fill(Message& out, const append_request& it)
{
    auto& body = *out.mutable_append_request();
    body.set_term(it.term);
    to_wire(it.previous, *body.mutable_previous());
    for (const auto& e : it.entries)
        fill(*body.add_entries(), e);
    body.set_committed(it.commit_index);
    body.set_round(it.round);
}

void fill(Message& out, const append_answer& it)
{
    auto& body = *out.mutable_append_answer();
    body.set_term(it.term);
    body.set_accepted(it.accepted);
    body.set_index(it.index);
    body.set_round(it.round);
}

void fill(Message& out, const snapshot_request& it)
{
    auto& body = *out.mutable_snapshot_request();
    body.set_term(it.term);
    to_wire(it.last, *body.mutable_last());
    fill(*body.mutable_configuration(), it.configuration);
    body.set_offset(it.offset);
    body.set_total_bytes(it.total_bytes);
    body.set_bytes(it.bytes);
    body.set_round(it.round);
}

void fill(Message& out, const snapshot_answer& it)
{
    auto& body = *out.mutable_snapshot_answer();
    body.set_term(it.term);
    to_wire(it.last, *body.mutable_last());
    body.set_offset(it.offset);
    body.set_round(it.round);
}

void fill(Message& out, const timeout_now& it)
{
    out.mutable_timeout_now()->set_term(it.term);
}

append_request read(const AppendRequest& in)
{
    append_request result{in.term(), from_wire(in.previous()), {}, in.committed(), in.round()};
    for (const auto& it : in.entries())
        result.entries.push_back(read(it));
    return result;
}

message_body read_body(const Message& in)
{
    switch (in.body_case()) {
    case Message::kVoteRequest: {
        const auto& it = in.vote_request();
        return vote_request{
            to_enum(it.kind(), vote_kind::bootstrap, "vote kind"), it.term(), from_wire(it.last()), it.campaign()};
    }
    case Message::kVoteAnswer: {
        const auto& it = in.vote_answer();
        return vote_answer{to_enum(it.kind(), vote_kind::bootstrap, "vote kind"), it.term(), it.granted(),
            core::incarnation(it.candidate_disk()), it.campaign()};
    }
    case Message::kAppendRequest:
        return read(in.append_request());
    case Message::kAppendAnswer: {
        const auto& it = in.append_answer();
        return append_answer{it.term(), it.accepted(), it.index(), it.round()};
    }
    case Message::kSnapshotRequest: {
        const auto& it = in.snapshot_request();
        return snapshot_request{it.term(), from_wire(it.last()), read(it.configuration()), it.offset(),
            it.total_bytes(), it.bytes(), it.round()};
    }
    case Message::kSnapshotAnswer: {
        const auto& it = in.snapshot_answer();
        return snapshot_answer{it.term(), from_wire(it.last()), it.offset(), it.round()};
    }
    case Message::kTimeoutNow:
        return timeout_now{in.timeout_now().term()};
    case Message::BODY_NOT_SET:
        break;
    }
    throw core::malformed_message("replication message without a body");
}

} // namespace

std::string encode(const message& it)
{
    Message out;
    out.set_from(it.from.value());
    out.set_to(it.to.value());
    out.set_disk(it.folder_incarnation.value());
    to_wire(it.admin_endpoint, *out.mutable_admin_endpoint());
    std::visit([&](const auto& body) { fill(out, body); }, it.body);
    return out.SerializeAsString();
}

message decode_message(std::string_view bytes)
{
    const auto in = parse<Message>(bytes);
    return {core::control_id(in.from()), core::control_id(in.to()), core::incarnation(in.disk()),
        from_wire(in.admin_endpoint()), read_body(in)};
}

std::string encode(const member& it)
{
    Member out;
    fill(out, it);
    return out.SerializeAsString();
}

member decode_member(std::string_view bytes)
{
    return read(parse<Member>(bytes));
}

std::string encode(const join_answer& it)
{
    JoinAnswer out;
    if (it.leader)
        to_wire(*it.leader, *out.mutable_leader());
    return out.SerializeAsString();
}

join_answer decode_join_answer(std::string_view bytes)
{
    const auto in = parse<JoinAnswer>(bytes);
    return {in.has_leader() ? std::optional(from_wire(in.leader())) : std::nullopt};
}

std::string encode(const snapshot& it)
{
    Snapshot out;
    to_wire(it.last, *out.mutable_last());
    fill(*out.mutable_configuration(), it.configuration);
    out.set_state(it.state);
    return out.SerializeAsString();
}

snapshot decode_snapshot(std::string_view bytes)
{
    const auto in = parse<Snapshot>(bytes);
    return {from_wire(in.last()), read(in.configuration()), in.state()};
}

std::string encode(const write_batch& it)
{
    WriteBatch out;
    if (it.vote) {
        out.mutable_ballot()->set_term(it.vote->term);
        out.mutable_ballot()->set_candidate(it.vote->candidate.value_or(core::control_id{}).value());
    }
    for (const auto& e : it.entries)
        fill(*out.add_entries(), e);
    out.set_committed(it.commit_index);
    return out.SerializeAsString();
}

write_batch decode_write_batch(std::string_view bytes)
{
    const auto in = parse<WriteBatch>(bytes);
    write_batch result;
    if (in.has_ballot()) {
        result.vote = term_and_vote{in.ballot().term(), std::nullopt};
        if (in.ballot().candidate() != 0)
            result.vote->candidate = core::control_id(in.ballot().candidate());
    }
    for (const auto& it : in.entries())
        result.entries.push_back(read(it));
    result.commit_index = in.committed();
    return result;
}

} // namespace ibisdyke::replication::wire
