#pragma once

#include "ibisdyke/settings/settings_source.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <string>

namespace ibisdyke::frontends {

/// Polls the settings file and calls back with the new settings when the file has changed and all settings in it are
/// valid. If a setting is invalid, the current settings stay in effect. Lives on the control thread.
class settings_watcher : public QObject {
public:
    using change_callback = std::function<void(const settings::setting_values&)>;

    /// `source` must outlive the watcher.
    settings_watcher(const settings::settings_source& source, change_callback on_change, QObject* parent);

    /// Checks the file immediately, for example after SIGHUP.
    void check();

private:
    const settings::settings_source& source_;
    change_callback on_change_;
    /// The text that was read last, whether or not its settings were valid.
    std::string last_text_;
    QTimer timer_;
};

} // namespace ibisdyke::frontends
