#pragma once

#include "ibisdyke/configuration/messages.h"
#include "ibisdyke/configuration/wire/configuration.pb.h"

namespace ibisdyke::configuration::wire {

/// Conversions of single objects to and from their protobuf messages, shared by the codecs of the configuration and
/// dissemination slices. from_wire() throws core::malformed_message for a value out of range.
void to_wire(const profile& value, Profile& message);
profile from_wire(const Profile& message);

void to_wire(const service& value, Service& message);
service from_wire(const Service& message);

void to_wire(const cold_start_bound& value, ColdStartBound& message);
cold_start_bound from_wire(const ColdStartBound& message);

void to_wire(const service_address& value, ServiceAddress& message);
service_address from_wire(const ServiceAddress& message);

void to_wire(const route& value, Route& message);
route from_wire(const Route& message);

void to_wire(const plan_summary& value, PlanSummary& message);
plan_summary from_wire(const PlanSummary& message);

void to_wire(const domain& value, Domain& message);
domain from_wire(const Domain& message);

void to_wire(const token& value, Token& message);
token from_wire(const Token& message);

} // namespace ibisdyke::configuration::wire
