#include "balancer_process.h"

#include "common/front_ends.h"
#include "ibisdyke/frontends/process/daemon.h"

int main(int argc, char** argv)
{
    using namespace ibisdyke;
    settings::settings_parser parser("balancer", "Balances flows and requests over the upstreams of services");
    declare_front_end(parser);
    balancer::balancer_process::declare_settings(parser);
    return frontends::run_program(parser, argc, argv, [](const settings::settings_source& source) {
        const auto front_end = create_front_end(source.initial());
        const auto runtime = frontends::process_runtime::create("balancer", source.initial());
        balancer::balancer_process process(*runtime, source, *front_end);
        return process.run();
    });
}
