#pragma once

#include "ibisdyke/settings/settings_source.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <string>

namespace ibisdyke::frontends {

/// Notices that the settings file has changed, also without a signal, and hands over the new settings once all of them
/// are checked. Settings that are not allowed leave the present ones in force. Lives on the control thread.
class settings_watcher : public QObject {
public:
    using change_callback = std::function<void(const settings::setting_values&)>;

    /// `source` must outlive the watcher.
    settings_watcher(const settings::settings_source& source, change_callback on_change, QObject* parent);

    /// Looks at the file now, because a signal says that it has changed.
    void check();

private:
    const settings::settings_source& source_;
    change_callback on_change_;
    /// The text that was read last, whether or not its settings were allowed.
    std::string seen_;
    QTimer timer_;
};

} // namespace ibisdyke::frontends
