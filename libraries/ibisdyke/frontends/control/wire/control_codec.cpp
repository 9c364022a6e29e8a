#include "ibisdyke/frontends/control/wire/control_codec.h"

#include "ibisdyke/accounting/wire/codec.h"
#include "ibisdyke/configuration/wire/codec.h"
#include "ibisdyke/core/wire/core_codec.h"
#include "ibisdyke/core/wire/message.h"
#include "ibisdyke/frontends/control/wire/control_record.pb.h"
#include "ibisdyke/membership/wire/codec.h"

namespace ibisdyke::frontends::wire {

namespace {

constexpr std::uint32_t configuration_kind = 1;
constexpr std::uint32_t membership_kind = 2;
/// One usage report. Written only by earlier versions.
constexpr std::uint32_t usage_report_kind = 3;
constexpr std::uint32_t usage_batch_kind = 4;

// These overloads name the codec of each slice, because argument-dependent lookup finds a codec only in the namespace
// of the command's type.
std::string encode_content(const configuration::command& it)
{
    return configuration::wire::encode(it);
}

std::string encode_content(const membership::membership_change& it)
{
    return membership::wire::encode(it);
}

std::string encode_content(const accounting::usage_batch& it)
{
    return accounting::encode(it);
}

std::uint32_t kind_of(const configuration::command& /*it*/)
{
    return configuration_kind;
}

std::uint32_t kind_of(const membership::membership_change& /*it*/)
{
    return membership_kind;
}

std::uint32_t kind_of(const accounting::usage_batch& /*it*/)
{
    return usage_batch_kind;
}

} // namespace

std::string encode(const control_command& it)
{
    ControlRecord out;
    out.set_kind(std::visit([](const auto& command) { return kind_of(command); }, it));
    out.set_content(std::visit([](const auto& command) { return encode_content(command); }, it));
    return out.SerializeAsString();
}

control_command decode_control_command(std::string_view bytes)
{
    const auto in = core::wire::parse<ControlRecord>(bytes);
    switch (in.kind()) {
    case configuration_kind:
        return configuration::wire::decode_command(in.content());
    case membership_kind:
        return membership::wire::decode_membership_change(in.content());
    case usage_report_kind:
        return accounting::usage_batch{0, {accounting::decode_usage_report(in.content())}};
    case usage_batch_kind:
        return accounting::decode_usage_batch(in.content());
    default:
        throw core::malformed_message("log record of unknown kind " + std::to_string(in.kind()));
    }
}

std::string encode(const control_state& it)
{
    ControlSnapshot out;
    core::wire::to_wire(it.system->applied, *out.mutable_applied());
    out.set_configuration(configuration::wire::encode(it.system->configuration));
    out.set_membership(membership::wire::encode(it.system->membership));
    out.set_ledger(configuration::wire::encode(it.command_history));
    out.set_usage(accounting::encode(it.usage));
    out.set_plan_document(configuration::wire::encode(it.plan_document));
    return out.SerializeAsString();
}

control_state decode_control_state(std::string_view bytes)
{
    const auto in = core::wire::parse<ControlSnapshot>(bytes);
    dissemination::system_state system{core::wire::from_wire(in.applied()),
        configuration::wire::decode_configuration_state(in.configuration()),
        membership::wire::decode_membership_state(in.membership())};
    return {std::make_shared<const dissemination::system_state>(std::move(system)),
        configuration::wire::decode_command_history(in.ledger()),
        configuration::wire::decode_plan_document(in.plan_document()), accounting::decode_usage_state(in.usage())};
}

} // namespace ibisdyke::frontends::wire
