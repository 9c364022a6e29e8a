#include "ibisdyke/core/error.h"
#include "ibisdyke/frontends/process/daemon.h"
#include "ibisdyke/transport/signal_watcher.h"
#include "measure/experiments/experiment_catalogue.h"
#include "measure/experiments/replay.h"
#include "measure/experiments/summary.h"

#include <QCoreApplication>
#include <QNetworkProxyFactory>
#include <QTemporaryDir>

#include <fstream>
#include <iostream>

namespace {

using namespace ibisdyke;

void declare_settings(settings::settings_parser& parser)
{
    const auto optional = settings::presence::optional;
    parser.add_text("experiment", "name of an experiment; --list shows all", "", optional);
    parser.add_text("replay", "trace file to replay", "", optional);
    parser.add_number("list", "1 lists the experiments", 0, 0, 1);
    parser.add_text("examples", "folder of the experiments' traces", "examples", optional);
    parser.add_text("programs", "folder of the daemons' programs", "", optional);
    parser.add_text("logs", "folder for logs; empty for a temporary one, kept when outcomes are missed", "", optional);
    parser.add_number("seed", "seed of the load and of random schedules; 0 keeps the trace's", 0, 0, UINT32_MAX);
    parser.add_text("router", "the balancers' --router; empty keeps the trace's", "", optional);
    parser.add_text("attempt-selector", "the balancers' --attempt-selector; empty keeps the trace's", "", optional);
    parser.add_number("seconds", "length of the run; 0 keeps the trace's", 0, 0, 86'400);
}

measure::trace choose_trace(const settings::setting_values& values, const measure::experiment_catalogue& catalogue)
{
    const auto seed = values.number("seed");
    const auto seconds = values.number("seconds");
    auto script = values.is_empty("replay") ? catalogue.create(values.text("experiment"), seed, seconds)
                                            : measure::trace::read(values.text("replay"));
    if (seed > 0)
        script.deployment.seed = seed;
    if (!values.is_empty("router"))
        script.deployment.router = values.text("router");
    if (!values.is_empty("attempt-selector"))
        script.deployment.attempt_selector = values.text("attempt-selector");
    if (seconds > 0)
        script.deployment.seconds = static_cast<double>(seconds);
    return script;
}

frontends::exit_code run(const settings::setting_values& values, int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    // All traffic is on loopback. A look-up of the system's proxy settings would start a thread each time.
    QNetworkProxyFactory::setUseSystemConfiguration(false);
    bool cancelled = false;
    const transport::signal_watcher signals([&] { cancelled = true; }, [] {}, [] {}, nullptr);
    const measure::experiment_catalogue catalogue(values.text("examples"));
    if (values.number("list") == 1) {
        for (const auto& it : catalogue.names())
            std::cout << it << '\n';
        return frontends::exit_code::success;
    }
    const auto script = choose_trace(values, catalogue);
    const auto programs =
        values.is_empty("programs") ? QCoreApplication::applicationDirPath().toStdString() : values.text("programs");
    QTemporaryDir temporary;
    temporary.setAutoRemove(true);
    const auto work = values.is_empty("logs") ? temporary.path().toStdString() : values.text("logs");
    std::ofstream(work + "/trace.jsonl") << measure::to_text(script);
    measure::replay player(
        {programs, work}, [&] { return cancelled; }, [](const std::string& line) { std::cerr << line << '\n'; });
    measure::replay_report report;
    try {
        report = player.run(script);
    } catch (const core::system_failure& it) {
        report.misses.emplace_back(it.what());
    }
    if (!report.misses.empty()) {
        temporary.setAutoRemove(false);
        std::cerr << "logs are kept in " << work << '\n';
    }
    measure::write_summary(std::cerr, script, report);
    const auto name = values.is_empty("replay") ? values.text("experiment") : values.text("replay");
    std::cout << measure::result_line(name, script, report) << '\n';
    return report.misses.empty() ? frontends::exit_code::success : frontends::exit_code::failure;
}

} // namespace

int main(int argc, char** argv)
{
    settings::settings_parser parser(
        "measure", "Runs the whole system as processes and compares outcomes with a trace");
    declare_settings(parser);
    return frontends::run_program(
        parser, argc, argv, [&](const auto& source) { return run(source.initial(), argc, argv); });
}
