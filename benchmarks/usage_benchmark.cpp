// Measures usage accounting at the design size. Each agent is used by one neighbour, for the number of hours given as
// the first argument. With the default of 26, the oldest hours are already closed. Prints one line of JSON.

#include "design_size.h"

#include "ibisdyke/accounting/usage_collector.h"
#include "ibisdyke/accounting/wire/codec.h"
#include "processor_time.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <chrono>
#include <ctime>
#include <iostream>
#include <string>

namespace {

using namespace ibisdyke;
using namespace ibisdyke::accounting;
using namespace std::chrono_literals;

constexpr std::uint64_t first_hour = 470'400;

double read_cpu_ms()
{
    const auto it = benchmarks::processor_time(CLOCK_PROCESS_CPUTIME_ID);
    return std::chrono::duration<double, std::milli>(it).count();
}

template <typename Action>
double cpu_ms(Action action)
{
    const auto begin = read_cpu_ms();
    action();
    return read_cpu_ms() - begin;
}

usage_report create_report(std::size_t agent, std::uint64_t hour, std::uint64_t n)
{
    const auto service = "service-" + std::to_string(agent % benchmarks::design_services);
    return {core::incarnation(agent * 0x9e37'79b9'7f4aU),
        {{{core::neighbour("neighbour-1"), service, hour}, {n * 100, n * 10'000, n * 10'000'000, n * 100, n * 1000}}}};
}

} // namespace

int main(int argc, char** argv)
{
    const auto hours = argc > 1 ? std::stoull(argv[1]) : 26;
    const core::time_point start{};
    const core::wall_time began{std::chrono::hours(first_hour)};
    usage_collector collector({}, start);
    usage_state state;
    for (std::uint64_t i = 0; i < hours; ++i) {
        usage_batch batch{first_hour + i, {}};
        for (std::size_t agent = 0; agent < benchmarks::design_upstreams; ++agent)
            batch.reports.push_back(create_report(agent, first_hour + i, 1));
        state = merge(std::move(state), batch);
    }
    const auto present = first_hour + hours - 1;
    const auto note_ms = cpu_ms([&] {
        for (std::size_t agent = 0; agent < benchmarks::design_upstreams; ++agent)
            collector.add_report(create_report(agent, present, 2), state);
    });
    std::optional<usage_batch> batch;
    const auto take_ms =
        cpu_ms([&] { batch = collector.take_batch(state, start + 2s, began + std::chrono::hours(hours)); });
    std::string record;
    const auto encode_ms = cpu_ms([&] { record = encode(*batch); });
    usage_batch decoded;
    const auto decode_ms = cpu_ms([&] { decoded = decode_usage_batch(record); });
    usage_state copy;
    const auto copy_ms = cpu_ms([&] { copy = state; });
    const auto merge_ms = cpu_ms([&] { state = merge(std::move(state), decoded); });
    std::string saved;
    const auto save_ms = cpu_ms([&] { saved = encode(state); });
    const QJsonObject result{{"benchmark", "usage"}, {"hours", static_cast<qint64>(hours)},
        {"open_entries", static_cast<qint64>(state.open_entries)},
        {"folded_entries", static_cast<qint64>(state.folded.size())},
        {"reports_in_record", static_cast<qint64>(batch->reports.size())},
        {"record_bytes", static_cast<qint64>(record.size())}, {"note_ms", note_ms}, {"take_ms", take_ms},
        {"encode_ms", encode_ms}, {"decode_ms", decode_ms}, {"merge_ms", merge_ms}, {"copy_ms", copy_ms},
        {"saved_bytes", static_cast<qint64>(saved.size())}, {"save_ms", save_ms}};
    std::cout << QJsonDocument(result).toJson(QJsonDocument::Compact).toStdString() << '\n';
    return 0;
}
