#pragma once

#include <QObject>
#include <QThread>

#include <functional>
#include <memory>

namespace ibisdyke::frontends {

/// The thread that carries requests: a Qt event loop of its own, so that neither control messages nor packets wait for
/// requests.
///
/// Example:
///
///     frontends::request_thread thread("requests");
///     frontends::request_gateway* gateway = nullptr;
///     thread.run([&] { gateway = new frontends::request_gateway(settings, parts, thread.parent()); });
///     ...
///     thread.post([&] { gateway->shut_down([&] { runtime.post_finish(); }); });
///
/// Objects made with parent() are deleted on the thread when the request_thread is destroyed.
class request_thread {
public:
    explicit request_thread(const char* name);

    ~request_thread();
    request_thread(const request_thread&) = delete;
    request_thread& operator=(const request_thread&) = delete;
    request_thread(request_thread&&) = delete;
    request_thread& operator=(request_thread&&) = delete;

    /// Runs the function on the thread and waits for it. Exceptions of the function reach the caller.
    void run(const std::function<void()>& function);

    /// Runs the function on the thread later.
    void post(std::function<void()> function);

    /// The parent of objects that live on the thread.
    QObject* parent() { return parent_; }

private:
    QThread thread_;
    QObject* parent_;
};

} // namespace ibisdyke::frontends
