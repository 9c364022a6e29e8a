#include "ibisdyke/observability/log.h"

#include "ibisdyke/core/time.h"
#include "ibisdyke/observability/clock.h"
#include "ibisdyke/observability/log_output.h"
#include "ibisdyke/observability/log_rate_limiter.h"

#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <array>
#include <atomic>
#include <charconv>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <memory>
#include <mutex>
#include <thread>
#include <type_traits>
#include <unistd.h>
#include <utility>

namespace ibisdyke::observability {

namespace {

namespace sinks = boost::log::sinks;

constexpr std::size_t max_queued_lines = 1024;

/// Lines are collected for this long and written together, so that a busy process does not wake the writer thread for
/// each line.
constexpr std::chrono::milliseconds batch_time{20};

/// Interval at which the numbers of suppressed lines are logged.
constexpr std::chrono::seconds summary_period{1};

/// Number of lines that were dropped because the queue was full.
std::atomic<std::uint64_t> overflowed_lines{0}; // NOLINT: the queue's overflow strategy has no state of its own.

/// Overflow strategy of the queue. Drops and counts the lines that do not fit.
class drop_and_count {
protected:
    template <typename Lock>
    bool on_overflow(const boost::log::record_view&, Lock&)
    {
        overflowed_lines.fetch_add(1, std::memory_order_relaxed);
        return false;
    }

    void on_queue_space_available() { }
    void interrupt() { }
};

class output_backend final : public sinks::basic_formatted_sink_backend<char, sinks::synchronized_feeding> {
public:
    void consume(const boost::log::record_view&, const std::string& line) { output_.add(line); }
    std::size_t write() { return output_.flush(); }

private:
    log_output output_{STDOUT_FILENO};
};

using sink_type = sinks::asynchronous_sink<output_backend, sinks::bounded_fifo_queue<max_queued_lines, drop_and_count>>;

const char* level_name(log_level it)
{
    switch (it) {
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    case log_level::info:
        break;
    }
    return "info";
}

/// The queue of log lines, the thread that writes them, and the rate limiter. A process has at most one.
class pipeline {
public:
    pipeline(const std::string& process_name, counter_sink& counters)
        : counters_(counters)
        , sink_(boost::make_shared<sink_type>(boost::make_shared<output_backend>(), false))
    {
        namespace expressions = boost::log::expressions;
        sink_->set_formatter(expressions::stream
            << "time=" << expressions::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
            << " level=" << expressions::attr<std::string>("Level") << " process=" << process_name << ' '
            << expressions::smessage);
        boost::log::core::get()->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
        boost::log::core::get()->add_sink(sink_);
        writer_ = std::thread([this] { run_writer(); });
    }

    pipeline(const pipeline&) = delete;
    pipeline& operator=(const pipeline&) = delete;
    pipeline(pipeline&&) = delete;
    pipeline& operator=(pipeline&&) = delete;

    ~pipeline()
    {
        {
            const std::scoped_lock lock(mutex_);
            stopping_ = true;
        }
        state_changed_.notify_one();
        writer_.join();
        boost::log::core::get()->remove_sink(sink_);
    }

    bool claim(std::string_view event)
    {
        const std::scoped_lock lock(mutex_);
        if (rate_limiter_.allows(event, read_clock()))
            return true;
        if (!std::exchange(has_suppressed_, true))
            state_changed_.notify_one();
        return false;
    }

    void write(log_level level, std::string_view event, std::initializer_list<log_field> fields)
    {
        enqueue(level, event, format_fields(fields));
        {
            const std::scoped_lock lock(mutex_);
            has_queued_ = true;
        }
        state_changed_.notify_one();
    }

private:
    static void enqueue(log_level level, std::string_view event, const std::string& fields)
    {
        boost::log::attribute_set attributes;
        attributes.insert("Level", boost::log::attributes::constant<std::string>(level_name(level)));
        auto record = boost::log::core::get()->open_record(attributes);
        if (!record)
            return;
        boost::log::record_ostream stream(record);
        stream << "event=" << event;
        if (!fields.empty())
            stream << ' ' << fields;
        stream.flush();
        boost::log::core::get()->push_record(std::move(record));
    }

    void run_writer()
    {
        std::unique_lock lock(mutex_);
        while (true) {
            if (has_suppressed_)
                state_changed_.wait_for(lock, summary_period, [this] { return has_queued_ || stopping_; });
            else
                state_changed_.wait(lock, [this] { return has_queued_ || stopping_ || has_suppressed_; });
            const bool stopping = stopping_;
            has_queued_ = false;
            lock.unlock();
            if (!stopping)
                std::this_thread::sleep_for(batch_time);
            write_summary();
            sink_->feed_records();
            count_dropped(sink_->locked_backend()->write() + overflowed_lines.exchange(0));
            lock.lock();
            if (stopping)
                return;
        }
    }

    void write_summary()
    {
        std::vector<std::pair<std::string, std::uint64_t>> suppressed;
        {
            const std::scoped_lock lock(mutex_);
            const auto now = read_clock();
            if (!has_suppressed_ || (now - last_summary_ < summary_period && !stopping_))
                return;
            last_summary_ = now;
            has_suppressed_ = false;
            suppressed = rate_limiter_.take_suppressed();
        }
        for (const auto& [event, n] : suppressed) {
            enqueue(log_level::warning, "lines_left_out", format_fields({{"of", event}, {"lines", n}}));
            counters_.add("log_lines_left_out", n);
        }
    }

    void count_dropped(std::size_t n)
    {
        if (n > 0)
            counters_.add("log_lines_dropped", n);
    }

    counter_sink& counters_;
    boost::shared_ptr<sink_type> sink_;
    std::mutex mutex_;
    std::condition_variable state_changed_;
    log_rate_limiter rate_limiter_{lines_per_second};
    bool has_queued_ = false;
    bool has_suppressed_ = false;
    bool stopping_ = false;
    core::time_point last_summary_{};
    std::thread writer_;
};

std::unique_ptr<pipeline>& current_pipeline()
{
    static std::unique_ptr<pipeline> result;
    return result;
}

bool needs_quotes(std::string_view text)
{
    return text.empty() || text.find_first_of(" =\"\\\n\r\t") != std::string_view::npos;
}

void append(std::string& out, const std::string& text)
{
    if (!needs_quotes(text)) {
        out += text;
        return;
    }
    out += '"';
    for (const char it : text) {
        if (it == '"' || it == '\\')
            out += '\\';
        out += static_cast<unsigned char>(it) < ' ' ? ' ' : it;
    }
    out += '"';
}

void append(std::string& out, bool value)
{
    out += value ? "true" : "false";
}

template <typename Number>
requires std::is_arithmetic_v<Number>
void append(std::string& out, Number value)
{
    constexpr std::size_t max_digits = 32;
    std::array<char, max_digits> digits{};
    const auto [end, ec] = std::to_chars(digits.data(), digits.data() + digits.size(), value);
    if (ec == std::errc{})
        out.append(digits.data(), end);
}

} // namespace

log_field::log_field(std::string_view name, std::string value)
    : name_(name)
    , value_(std::move(value))
{
}

log_field::log_field(std::string_view name, std::string_view value)
    : name_(name)
    , value_(std::string(value))
{
}

log_field::log_field(std::string_view name, const char* value)
    : name_(name)
    , value_(std::string(value))
{
}

log_field::log_field(std::string_view name, bool value)
    : name_(name)
    , value_(value)
{
}

log_field::log_field(std::string_view name, double value)
    : name_(name)
    , value_(value)
{
}

log_field::log_field(std::string_view name, int value)
    : name_(name)
    , value_(std::int64_t{value})
{
}

log_field::log_field(std::string_view name, std::int64_t value)
    : name_(name)
    , value_(value)
{
}

log_field::log_field(std::string_view name, std::uint32_t value)
    : name_(name)
    , value_(std::uint64_t{value})
{
}

log_field::log_field(std::string_view name, std::uint64_t value)
    : name_(name)
    , value_(value)
{
}

std::string format_fields(std::initializer_list<log_field> fields)
{
    std::string result;
    for (const auto& it : fields) {
        if (!result.empty())
            result += ' ';
        result += it.name();
        result += '=';
        std::visit([&result](const auto& value) { append(result, value); }, it.value());
    }
    return result;
}

void initialise_log(std::string_view process_name, counter_sink& counters)
{
    // Writing to a pipe whose reader has exited then fails with EPIPE instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    current_pipeline() = std::make_unique<pipeline>(std::string(process_name), counters);
}

void finish_log()
{
    current_pipeline().reset();
}

bool claim_line(std::string_view event)
{
    const auto& it = current_pipeline();
    return it && it->claim(event);
}

void write_claimed_line(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (const auto& it = current_pipeline())
        it->write(level, event, fields);
}

void write_log(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (claim_line(event))
        write_claimed_line(level, event, fields);
}

} // namespace ibisdyke::observability
