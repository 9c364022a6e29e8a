#include "ibisdyke/frontends/requests/request_thread.h"

#include <exception>
#include <utility>

namespace ibisdyke::frontends {

request_thread::request_thread(const char* name)
    : parent_(new QObject)
{
    thread_.setObjectName(QString::fromUtf8(name));
    parent_->moveToThread(&thread_);
    thread_.start();
}

request_thread::~request_thread()
{
    // Sockets must be closed on the thread whose event loop polls them.
    run([this] { delete std::exchange(parent_, nullptr); });
    thread_.quit();
    thread_.wait();
}

void request_thread::run(const std::function<void()>& function)
{
    std::exception_ptr thrown;
    const auto guarded = [&] {
        try {
            function();
        } catch (...) {
            thrown = std::current_exception();
        }
    };
    if (QThread::currentThread() == &thread_)
        guarded();
    else
        QMetaObject::invokeMethod(parent_, guarded, Qt::BlockingQueuedConnection);
    if (thrown)
        std::rethrow_exception(thrown);
}

void request_thread::post(std::function<void()> function)
{
    QMetaObject::invokeMethod(parent_, std::move(function), Qt::QueuedConnection);
}

} // namespace ibisdyke::frontends
