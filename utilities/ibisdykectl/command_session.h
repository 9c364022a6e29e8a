#pragma once

#include "commands.h"

#include <QJsonArray>
#include <QJsonObject>
#include <QJsonValue>
#include <QUrlQuery>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace ibisdyke::ctl {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;

/// The options of a run of the program, the client for the control group, and functions that print answers.
class command_session {
public:
    explicit command_session(const ctl_options& options)
        : options_(options)
    {
    }

    const ctl_options& options() const { return options_; }

    /// Returns the i-th argument after the two words of the command's name.
    const std::string& argument(std::size_t i) const { return options_.arguments.at(i + 2); }

    admin_response get(const std::string& path, const QUrlQuery& query = {});

    /// Requests a list from the administration API and prints it, as a table of `fields` or as JSON.
    ctl_exit_code show(const std::string& path, const char* list, const std::vector<const char*>& fields);

    /// Sends a change with a command id. With --wait, returns when the change is in force everywhere.
    ctl_exit_code change(const std::string& method, const std::string& path, QJsonObject body, QUrlQuery query = {});

    /// Prints the error of an answer to standard error and returns the exit code for it.
    ctl_exit_code report_error(const admin_response& response) const;
    void print_json(const QJsonObject& it) const;

private:
    admin_client& client();
    std::string command_id() const;
    ctl_exit_code wait_until_in_force(const std::string& version, std::chrono::steady_clock::time_point begin);

    const ctl_options& options_;
    std::unique_ptr<admin_client> client_;
};

/// Rows of a table; the first row is the heading.
using table_rows = std::vector<std::vector<std::string>>;

std::string to_text(const QJsonValue& it);

/// Returns the heading and a row for each object of a list.
table_rows list_rows(const QJsonArray& list, const std::vector<const char*>& fields);

/// Runs the event loop for the given time.
void pause(core::milliseconds time);

} // namespace ibisdyke::ctl
