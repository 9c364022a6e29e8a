#include "ibisdyke/frontends/process/daemon.h"

#include "ibisdyke/core/error.h"

#include <iostream>

namespace ibisdyke::frontends {

int run_program(const settings::settings_parser& parser, int argc, const char* const* argv,
    const std::function<exit_code(const settings::settings_source&)>& body)
{
    try {
        const auto values = parser.parse(argc, argv);
        if (!values)
            return static_cast<int>(exit_code::success);
        const settings::settings_source source(parser, argc, argv, *values);
        return static_cast<int>(body(source));
    } catch (const core::invalid_input& it) {
        std::cerr << it.what() << '\n';
        return static_cast<int>(exit_code::bad_setting);
    } catch (const std::exception& it) {
        std::cerr << it.what() << '\n';
        return static_cast<int>(exit_code::failure);
    }
}

} // namespace ibisdyke::frontends
