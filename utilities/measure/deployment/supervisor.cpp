#include "measure/deployment/supervisor.h"

#include "ibisdyke/core/error.h"
#include "measure/deployment/daemon_arguments.h"

#include <algorithm>
#include <filesystem>
#include <utility>

namespace ibisdyke::measure {

supervisor::supervisor(const topology& deployment, std::vector<instance> instances, const address_plan& addresses,
    run_folders folders, const std::string& bootstrap_token, QObject* parent)
    : QObject(parent)
    , instances_(std::move(instances))
    , folders_(std::move(folders))
{
    const daemon_arguments arguments(deployment, instances_, addresses, folders_.work, bootstrap_token);
    for (const auto& it : instances_) {
        daemon_command command{folders_.programs + "/" + program_of(it.kind), arguments.create(it),
            folders_.work + "/" + it.name + ".log"};
        processes_.emplace(it.name, new daemon_process(std::move(command), this));
    }
}

void supervisor::start(instance_kind kind)
{
    for (const auto& it : instances_) {
        if (it.kind == kind)
            process(it.name).start();
    }
}

void supervisor::remove_data(const std::string& name) const
{
    std::filesystem::remove_all(folders_.work + "/" + name);
}

const instance& supervisor::find(const std::string& name) const
{
    const auto found =
        std::find_if(instances_.begin(), instances_.end(), [&](const auto& it) { return it.name == name; });
    if (found == instances_.end())
        throw core::invalid_input("target", name, "the name of an instance");
    return *found;
}

} // namespace ibisdyke::measure
