#include "agent_process.h"

#include "common/front_ends.h"
#include "ibisdyke/frontends/process/daemon.h"

int main(int argc, char** argv)
{
    using namespace ibisdyke;
    settings::settings_parser parser("agent", "Announces and guards the upstream beside it");
    declare_front_end(parser);
    agent::agent_process::declare_settings(parser);
    return frontends::run_program(parser, argc, argv, [](const settings::settings_source& source) {
        const auto world = create_front_end(source.initial());
        const auto runtime = frontends::process_runtime::create("agent", source.initial());
        agent::agent_process process(*runtime, source, *world);
        return process.run();
    });
}
