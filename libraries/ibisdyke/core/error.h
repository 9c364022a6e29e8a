#pragma once

#include <stdexcept>
#include <string>

namespace ibisdyke::core {

/// Base class of all exceptions of this library.
class error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// A value from outside the process is not allowed, for example a setting, a field of a document or a message.
class invalid_input : public error {
public:
    /// `field` is the name of the flag or field, `value` the rejected value, and `allowed` a description of the
    /// accepted values.
    invalid_input(const std::string& field, const std::string& value, const std::string& allowed)
        : error(field + ": \"" + value + "\" is not allowed; expected " + allowed)
        , field_(field)
    {
    }

    const std::string& field() const { return field_; }

private:
    std::string field_;
};

/// A message cannot be decoded.
class malformed_message : public error {
public:
    using error::error;
};

/// An operation on a socket, file or other system resource failed.
class system_failure : public error {
public:
    using error::error;
};

/// The disk has no space for the data to write. No part of the data has been written, and the call may be repeated.
class storage_full : public system_failure {
public:
    using system_failure::system_failure;
};

} // namespace ibisdyke::core
