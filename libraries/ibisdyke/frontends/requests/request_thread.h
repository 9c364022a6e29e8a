#pragma once

#include <QObject>
#include <QThread>

#include <functional>
#include <memory>

namespace ibisdyke::frontends {

/// The thread that handles requests. It has its own Qt event loop, so that neither control messages nor packets are
/// delayed by requests.
///
/// Example:
///
///     frontends::request_thread thread("requests");
///     frontends::request_gateway* gateway = nullptr;
///     thread.run([&] {
///         gateway = new frontends::request_gateway(
///             settings, parts, std::make_unique<requests::chain_order_selector>(), thread.parent());
///     });
///     ...
///     thread.post([&] { gateway->shut_down(on_drained); });
///
/// The children of parent() are deleted on the thread when the request_thread is destroyed.
class request_thread {
public:
    explicit request_thread(const char* name);

    ~request_thread();
    request_thread(const request_thread&) = delete;
    request_thread& operator=(const request_thread&) = delete;
    request_thread(request_thread&&) = delete;
    request_thread& operator=(request_thread&&) = delete;

    /// Runs the function on the thread and waits until it returns. Rethrows an exception that the function throws.
    void run(const std::function<void()>& function);

    /// Queues the function on the thread and returns at once.
    void post(std::function<void()> function);

    /// Returns the parent object for objects that belong to the thread.
    QObject* parent() { return parent_; }

private:
    QThread thread_;
    QObject* parent_;
};

} // namespace ibisdyke::frontends
