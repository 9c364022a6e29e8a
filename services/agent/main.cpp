#include "agent_process.h"

#include "common/front_ends.h"
#include "ibisdyke/frontends/process/daemon.h"

int main(int argc, char** argv)
{
    using namespace ibisdyke;
    settings::settings_parser parser("agent", "Announces an upstream and delivers flows and requests to it");
    declare_front_end(parser);
    agent::agent_process::declare_settings(parser);
    return frontends::run_program(parser, argc, argv, [](const settings::settings_source& source) {
        const auto front_end = create_front_end(source.initial());
        const auto runtime = frontends::process_runtime::create("agent", source.initial());
        agent::agent_process process(*runtime, source, *front_end);
        return process.run();
    });
}
