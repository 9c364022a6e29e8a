#pragma once

#include <QJsonObject>

#include <string>

namespace ibisdyke::observability {

/// A component that contributes its state to the state dump of a process. Called on the control thread.
class state_reporter {
public:
    virtual ~state_reporter() = default;

    /// Returns the component's key in the dump, for example "replication".
    virtual std::string name() const = 0;

    virtual QJsonObject report() const = 0;
};

} // namespace ibisdyke::observability
