#pragma once

#include <QByteArray>

#include <string>

namespace ibisdyke::ctl {

/// Returns the content of a file, or of standard input if the name is "-". Throws core::invalid_input if it cannot be
/// opened.
QByteArray read_file(const std::string& name);

} // namespace ibisdyke::ctl
