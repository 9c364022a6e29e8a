#pragma once

#include "measure/deployment/address_plan.h"
#include "measure/deployment/daemon_process.h"
#include "measure/deployment/instance.h"

#include <QObject>

#include <map>
#include <string>

namespace ibisdyke::measure {

/// The directories that a run uses.
struct run_folders {
    /// Directory of the daemons' programs.
    std::string programs;
    /// Directory for logs and the data of control processes. It must be new, because files of an earlier run are not
    /// removed.
    std::string work;

    friend bool operator==(const run_folders&, const run_folders&) = default;
};

/// All daemons of a run. Lives on the main thread.
class supervisor : public QObject {
public:
    /// Creates the processes without starting them. `bootstrap_token` is the first administrator's token.
    supervisor(const topology& deployment, std::vector<instance> instances, const address_plan& addresses,
        run_folders folders, const std::string& bootstrap_token, QObject* parent);

    daemon_process& process(const std::string& name) { return *processes_.at(name); }

    /// Starts all instances of a kind.
    void start(instance_kind kind);

    /// Removes the data of a control process. The process must not run.
    void remove_data(const std::string& name) const;

    const std::vector<instance>& instances() const { return instances_; }
    const instance& find(const std::string& name) const;

private:
    std::vector<instance> instances_;
    run_folders folders_;
    std::map<std::string, daemon_process*> processes_;
};

} // namespace ibisdyke::measure
