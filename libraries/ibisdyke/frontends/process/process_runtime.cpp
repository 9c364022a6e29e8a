#include "ibisdyke/frontends/process/process_runtime.h"

#include "ibisdyke/observability/log.h"

#include <QJsonDocument>
#include <QLoggingCategory>
#include <QRandomGenerator>

#include <iostream>
#include <utility>

namespace ibisdyke::frontends {

namespace {

/// Reports the byte counts of control connections, so that operators can monitor their rate.
class traffic_reporter final : public observability::state_reporter {
public:
    explicit traffic_reporter(const transport::traffic_meter& meter)
        : meter_(meter)
    {
    }

    std::string name() const override { return "control_traffic"; }

    QJsonObject report() const override
    {
        return {
            {"sent_bytes", static_cast<qint64>(meter_.sent_bytes())},
            {"received_bytes", static_cast<qint64>(meter_.received_bytes())},
        };
    }

private:
    const transport::traffic_meter& meter_;
};

std::uint32_t source_address(const settings::setting_values& values)
{
    if (values.is_empty("source-address"))
        return 0;
    return core::endpoint::create(values.text("source-address") + ":0").address;
}

} // namespace

void process_runtime::declare_settings(settings::settings_parser& parser)
{
    using settings::presence;
    parser.add_text("name", "Name that operators see", "", presence::required);
    parser.add_text("failure-domain", "Failure domain of this VM", "", presence::required);
    parser.add_endpoint("listen-admin", "Address for dump, metrics and health check", "", presence::required);
    parser.add_text("source-address", "Local IPv4 address of outgoing connections", "", presence::optional);
}

std::unique_ptr<process_runtime> process_runtime::create(
    const std::string& program, const settings::setting_values& values)
{
    const process_identity identity{program, values.text("name"), core::failure_domain(values.text("failure-domain")),
        core::incarnation(QRandomGenerator::system()->generate64()), source_address(values)};
    return std::make_unique<process_runtime>(identity, values.endpoint("listen-admin"));
}

int process_runtime::prepare_qt()
{
    // Nothing else needs GLib's main loop, and Qt's own event loop makes fewer system calls per event.
    qputenv("QT_NO_GLIB", "1");
    // Disables plugins, because none is needed. Qt's HTTP server would load the TLS back end, which takes half of the
    // start-up time of a process.
    QCoreApplication::setLibraryPaths({});
    return 0;
}

process_runtime::process_runtime(process_identity identity, const core::endpoint& admin_address)
    : identity_(std::move(identity))
    , admin_address_(admin_address)
{
    QLoggingCategory::setFilterRules("qt.network.ssl=false");
    // Other components create threads before run() starts the signal watcher. They inherit the blocked signals; a
    // signal that any thread does not block would end the process.
    transport::signal_watcher::block_signals();
    observability::initialise_log(identity_.name, counters_);
}

process_runtime::~process_runtime()
{
    observability::finish_log();
}

exit_code process_runtime::run(std::vector<const observability::state_reporter*> reporters,
    admin_server::health_check check, std::function<void()> on_stop,
    const std::function<void(QHttpServer&)>& add_routes)
{
    const traffic_reporter traffic(control_traffic_);
    reporters.push_back(&traffic);
    const QJsonObject process{
        {"program", QString::fromStdString(identity_.program)},
        {"name", QString::fromStdString(identity_.name)},
        {"failure_domain", QString::fromStdString(identity_.domain.value())},
        {"incarnation", QString::number(identity_.incarnation.value())},
        {"version", IBISDYKE_VERSION},
    };
    admin_server admin(process, counters_, std::move(reporters), std::move(check), nullptr);
    if (add_routes)
        add_routes(admin.http());
    admin.listen(admin_address_);
    const transport::signal_watcher signals([this, &on_stop] { stop(on_stop); },
        [&admin] { std::cout << QJsonDocument(admin.dump()).toJson(QJsonDocument::Compact).toStdString() << '\n'; },
        [this] {
            if (settings_watcher_ != nullptr)
                settings_watcher_->check();
        },
        nullptr);
    observability::write_log(observability::log_level::info, "started",
        {{"program", identity_.program}, {"version", IBISDYKE_VERSION}, {"domain", identity_.domain.value()},
            {"incarnation", identity_.incarnation.value()}, {"administration", to_string(admin_address_)}});
    QCoreApplication::exec();
    observability::write_log(
        observability::log_level::info, "stopped", {{"cause", result_ == exit_code::success ? "signal" : "failure"}});
    return result_;
}

void process_runtime::watch_settings(
    const settings::settings_source& source, settings_watcher::change_callback on_change)
{
    settings_watcher_ = new settings_watcher(source, std::move(on_change), &parent_); // NOLINT
}

void process_runtime::fail()
{
    result_ = exit_code::failure;
    finish();
}

void process_runtime::stop(const std::function<void()>& on_stop)
{
    if (std::exchange(stopping_, true)) {
        finish();
        return;
    }
    observability::write_log(observability::log_level::info, "stopping", {{"cause", "signal"}});
    on_stop();
}

} // namespace ibisdyke::frontends
