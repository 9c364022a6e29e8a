#pragma once

#include <QObject>
#include <QThread>

#include <exception>
#include <functional>
#include <memory>
#include <utility>

namespace ibisdyke::measure {

/// A traffic thread with its own Qt event loop and a worker object. The worker is created, used and destroyed on the
/// thread.
template <typename Worker>
class worker_thread {
public:
    /// Creates the worker on the new thread and rethrows the exceptions of `create`.
    explicit worker_thread(const std::function<std::unique_ptr<Worker>()>& create)
    {
        context_.moveToThread(&thread_);
        thread_.start();
        std::exception_ptr failure;
        run_blocking([&] {
            try {
                worker_ = create();
            } catch (...) {
                failure = std::current_exception();
            }
        });
        if (!failure)
            return;
        stop_thread();
        std::rethrow_exception(failure);
    }

    ~worker_thread()
    {
        run_blocking([this] { worker_.reset(); });
        stop_thread();
    }

    worker_thread(const worker_thread&) = delete;
    worker_thread& operator=(const worker_thread&) = delete;
    worker_thread(worker_thread&&) = delete;
    worker_thread& operator=(worker_thread&&) = delete;

    /// Queues `task` to run on the thread and returns at once.
    void post(std::function<void(Worker&)> task)
    {
        QMetaObject::invokeMethod(
            &context_, [this, queued = std::move(task)] { queued(*worker_); }, Qt::QueuedConnection);
    }

    /// Runs `task` on the thread, waits for its end and returns its result. `task` must not throw.
    template <typename Task>
    auto call(Task task)
    {
        using result_type = decltype(task(std::declval<Worker&>()));
        if constexpr (std::is_void_v<result_type>) {
            run_blocking([&] { task(*worker_); });
        } else {
            result_type result{};
            run_blocking([&] { result = task(*worker_); });
            return result;
        }
    }

private:
    template <typename Task>
    void run_blocking(Task task)
    {
        QMetaObject::invokeMethod(&context_, std::move(task), Qt::BlockingQueuedConnection);
    }

    void stop_thread()
    {
        thread_.quit();
        thread_.wait();
    }

    QThread thread_;
    QObject context_;
    std::unique_ptr<Worker> worker_;
};

} // namespace ibisdyke::measure
