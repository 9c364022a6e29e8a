#pragma once

#include "ibisdyke/frontends/process/front_end.h"
#include "ibisdyke/settings/settings_parser.h"

#include <memory>
#include <string>

namespace ibisdyke {

/// Declares --front-end.
void declare_front_end(settings::settings_parser& parser);

/// Returns the front end with this name. Throws core::invalid_input for an unknown name.
std::unique_ptr<frontends::front_end> create_front_end(const std::string& name);

/// Returns the front end that --front-end names.
std::unique_ptr<frontends::front_end> create_front_end(const settings::setting_values& values);

} // namespace ibisdyke
