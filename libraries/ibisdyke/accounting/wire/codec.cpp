#include "ibisdyke/accounting/wire/codec.h"

#include "ibisdyke/accounting/wire/accounting.pb.h"
#include "ibisdyke/core/error.h"
#include "ibisdyke/core/wire/message.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace ibisdyke::accounting {

namespace {

template <typename Message>
void fill_key(Message& message, const usage_key& key)
{
    message.set_consumer(key.neighbour.value());
    message.set_service(key.service);
    message.set_hour(key.hour);
}

template <typename Entry>
void fill_counters(Entry& entry, const usage_counters& counters)
{
    entry.set_flows(counters.flows);
    entry.set_packets(counters.packets);
    entry.set_bytes(counters.bytes);
    entry.set_requests(counters.requests);
    entry.set_slot_milliseconds(counters.slot_milliseconds);
}

void fill(wire::UsageEntry& entry, const usage_key& key, const usage_counters& counters)
{
    fill_key(entry, key);
    fill_counters(entry, counters);
}

template <typename Message>
usage_key read_key(const Message& entry)
{
    return {core::neighbour(entry.consumer()), entry.service(), entry.hour()};
}

template <typename Entry>
usage_counters read_counters(const Entry& entry)
{
    return {entry.flows(), entry.packets(), entry.bytes(), entry.requests(), entry.slot_milliseconds()};
}

} // namespace

std::string encode(const usage_report& it)
{
    wire::UsageReport message;
    message.set_source(it.source.value());
    for (const auto& [key, counters] : it.usage)
        fill(*message.add_entries(), key, counters);
    return message.SerializeAsString();
}

std::string encode(const usage_batch& it)
{
    wire::UsageBatch message;
    message.set_hour(it.hour);
    std::map<usage_key, std::uint32_t> key_indexes;
    for (const auto& report : it.reports) {
        auto& to = *message.add_reports();
        to.set_source(report.source.value());
        for (const auto& [key, counters] : report.usage) {
            const auto [key_index, is_new] =
                key_indexes.try_emplace(key, static_cast<std::uint32_t>(key_indexes.size()));
            if (is_new)
                fill_key(*message.add_keys(), key);
            auto& entry = *to.add_entries();
            entry.set_key(key_index->second);
            fill_counters(entry, counters);
        }
    }
    return message.SerializeAsString();
}

std::string encode(const usage_state& it)
{
    wire::UsageState message;
    for (const auto& [incarnation, source] : it.sources) {
        auto& to = *message.add_sources();
        to.set_source(incarnation.value());
        for (const auto& [key, counters] : source.open)
            fill(*to.add_entries(), key, counters);
    }
    for (const auto& [key, counters] : it.folded)
        fill(*message.add_folded(), key, counters);
    message.set_closed_before(it.closed_before);
    message.set_daily_before(it.daily_before);
    message.set_monthly_before(it.monthly_before);
    message.set_refused_reports(it.refused_reports);
    message.set_dropped_sums(it.dropped_sums);
    return message.SerializeAsString();
}

usage_report decode_usage_report(std::string_view bytes)
{
    const auto message = core::wire::parse<wire::UsageReport>(bytes);
    usage_report result;
    result.source = core::incarnation(message.source());
    for (const auto& entry : message.entries())
        result.usage.insert_or_assign(read_key(entry), read_counters(entry));
    return result;
}

usage_batch decode_usage_batch(std::string_view bytes)
{
    const auto message = core::wire::parse<wire::UsageBatch>(bytes);
    std::vector<usage_key> keys;
    keys.reserve(static_cast<std::size_t>(message.keys_size()));
    for (const auto& it : message.keys())
        keys.push_back(read_key(it));
    usage_batch result{message.hour(), {}};
    for (const auto& it : message.reports()) {
        usage_report report{core::incarnation(it.source()), {}};
        for (const auto& entry : it.entries()) {
            if (entry.key() >= keys.size())
                throw core::malformed_message(
                    "usage entry refers to key " + std::to_string(entry.key()) + " of " + std::to_string(keys.size()));
            report.usage.insert_or_assign(keys[entry.key()], read_counters(entry));
        }
        result.reports.push_back(std::move(report));
    }
    return result;
}

usage_state decode_usage_state(std::string_view bytes)
{
    const auto message = core::wire::parse<wire::UsageState>(bytes);
    usage_state result;
    result.closed_before = message.closed_before();
    result.daily_before = message.daily_before();
    result.monthly_before = message.monthly_before();
    result.refused_reports = message.refused_reports();
    result.dropped_sums = message.dropped_sums();
    for (const auto& entry : message.folded())
        result.folded.insert_or_assign(read_key(entry), read_counters(entry));
    // A state saved by an earlier version has several hours for each incarnation. Merging folds all but the latest
    // hour.
    for (const auto& it : message.sources()) {
        usage_report report{core::incarnation(it.source()), {}};
        for (const auto& entry : it.entries())
            report.usage.insert_or_assign(read_key(entry), read_counters(entry));
        result = merge_saved_source(std::move(result), report);
    }
    return result;
}

} // namespace ibisdyke::accounting
