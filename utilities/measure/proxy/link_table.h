#pragma once

#include "measure/proxy/link_conditions.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ibisdyke::measure {

/// State of the link between each pair of processes, by their names. An empty name stands for operators, whose traffic
/// has no delay and no faults.
class link_table {
public:
    /// `domain_of` maps each process to its failure domain. `domain_delay` is the one-way delay between processes of
    /// different domains. A name that is not listed is a caller, and `client_delay` is its one-way delay to any
    /// process.
    link_table(
        std::map<std::string, std::string> domain_of, core::milliseconds domain_delay, core::milliseconds client_delay);

    /// Cuts the links between `a` and `b`. An empty list stands for all processes that the other list does not name.
    void partition(const std::vector<std::string>& a, const std::vector<std::string>& b);
    /// Restores the links between `a` and `b`, or all links when both lists are empty.
    void heal(const std::vector<std::string>& a, const std::vector<std::string>& b);
    /// Sets the conditions in both directions; default conditions restore the link.
    void set_conditions(
        const std::vector<std::string>& a, const std::vector<std::string>& b, const link_conditions& conditions);

    bool is_cut(const std::string& from, const std::string& to) const;

    /// Returns the conditions that were set, with the topology's delay added.
    link_conditions conditions(const std::string& from, const std::string& to) const;

private:
    using link = std::pair<std::string, std::string>;

    std::vector<link> links(const std::vector<std::string>& a, const std::vector<std::string>& b) const;
    core::milliseconds base_delay(const std::string& from, const std::string& to) const;

    std::map<std::string, std::string> domain_of_;
    core::milliseconds domain_delay_;
    core::milliseconds client_delay_;
    std::set<link> cut_;
    std::map<link, link_conditions> conditions_;
};

} // namespace ibisdyke::measure
