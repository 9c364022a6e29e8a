#pragma once

#include "ibisdyke/replication/messages.h"

#include <string>
#include <string_view>

namespace ibisdyke::replication::wire {

std::string encode(const message& it);
message decode_message(std::string_view bytes);

std::string encode(const member& it);
member decode_member(std::string_view bytes);

std::string encode(const join_answer& it);
join_answer decode_join_answer(std::string_view bytes);

std::string encode(const snapshot& it);
snapshot decode_snapshot(std::string_view bytes);

/// Encodes the vote, the entries and the commit index. The snapshot of a batch is encoded separately.
std::string encode(const write_batch& it);
write_batch decode_write_batch(std::string_view bytes);

} // namespace ibisdyke::replication::wire
