#pragma once

#include <stdexcept>
#include <string>

namespace ibisdyke::core {

/// The base of all exceptions of this library.
class error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// A value from outside that is not allowed: a setting, a field of a document, a malformed message.
class invalid_input : public error {
public:
    /// `field` names the flag or field at fault, `value` is what was given, `allowed` says what would be accepted.
    invalid_input(const std::string& field, const std::string& value, const std::string& allowed)
        : error(field + ": \"" + value + "\" is not allowed; expected " + allowed)
        , field_(field)
    {
    }

    const std::string& field() const { return field_; }

private:
    std::string field_;
};

/// A message that cannot be decoded.
class malformed_message : public error {
public:
    using error::error;
};

/// A socket, file or other system resource that failed.
class system_failure : public error {
public:
    using error::error;
};

/// A disk without room for what was to be written. Nothing of it was written; the call may be made again.
class storage_full : public system_failure {
public:
    using system_failure::system_failure;
};

} // namespace ibisdyke::core
