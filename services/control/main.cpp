#include "control_process.h"

#include "common/front_ends.h"

int main(int argc, char** argv)
{
    using namespace ibisdyke;
    settings::settings_parser parser("control", "ibisdyke control: replicated configuration and administration API");
    declare_front_end(parser);
    control::control_process::declare_settings(parser);
    return frontends::run_program(parser, argc, argv, [](const settings::settings_source& source) {
        const auto front_end = create_front_end(source.initial());
        return control::control_process(source, *front_end).run();
    });
}
