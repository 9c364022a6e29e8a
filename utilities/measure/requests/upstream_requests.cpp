#include "measure/requests/upstream_requests.h"

#include "measure/requests/answer_body.h"
#include "measure/support/clock.h"

#include <QTimer>

#include <algorithm>
#include <cmath>
#include <utility>

namespace ibisdyke::measure {

namespace {

constexpr core::milliseconds recovery_time{1000};
constexpr std::size_t piece_bytes = 65'536;

} // namespace

/// A request and its answer.
class upstream_requests::exchange final : public transport::http2_stream_listener {
public:
    exchange(upstream_requests& owner, std::shared_ptr<transport::http2_stream> stream, request_path path)
        : owner_(&owner)
        , stream_(std::move(stream))
        , path_(std::move(path))
    {
    }

    const request_path& path() const { return path_; }

    void on_headers(const transport::header_list&, transport::end_of_stream) override { }

    void on_data(std::string_view bytes, transport::end_of_stream) override { stream_->acknowledge(bytes.size()); }

    void on_drained() override
    {
        if (body_ && !body_->finished())
            send_piece();
    }

    void on_closed(transport::close_reason reason) override
    {
        if (owner_ == nullptr)
            return;
        if (reason != transport::close_reason::completed)
            ++owner_->counts_.cancelled;
        auto* const owner = std::exchange(owner_, nullptr);
        owner->remove(*this);
    }

    void answer(const std::string& upstream)
    {
        body_ = std::make_unique<answer_writer>(path_.key, upstream, path_.answer_bytes);
        stream_->send_headers({{":status", "200"}}, transport::end_of_stream::no);
        send_piece();
    }

    /// Stops reports to the upstream, because the upstream has stopped.
    void detach() { owner_ = nullptr; }

private:
    void send_piece()
    {
        const auto piece = body_->next(piece_bytes);
        stream_->send_data(piece, body_->finished() ? transport::end_of_stream::yes : transport::end_of_stream::no);
    }

    upstream_requests* owner_;
    std::shared_ptr<transport::http2_stream> stream_;
    request_path path_;
    std::unique_ptr<answer_writer> body_;
};

upstream_requests::upstream_requests(upstream_requests_spec spec, execution_ledger& ledger, QObject* parent)
    : QObject(parent)
    , spec_(std::move(spec))
    , ledger_(ledger)
{
}

upstream_requests::~upstream_requests()
{
    stop();
}

void upstream_requests::start()
{
    stop();
    paused_ = false;
    refusing_until_ = {};
    const auto now = read_clock();
    cold_ = {now, spec_.cold_share, spec_.cold_ramp};
    overload_counts_from_ = now;
    server_ = transport::http2_server::create(spec_.listen, {}, *this, nullptr, this);
}

void upstream_requests::stop()
{
    for (auto* const list : {&working_, &finished_while_paused_}) {
        for (const auto& it : *list)
            it->detach();
        list->clear();
    }
    for (const auto& it : waiting_)
        it->detach();
    waiting_.clear();
    delete std::exchange(server_, nullptr);
}

void upstream_requests::pause()
{
    paused_ = true;
}

void upstream_requests::resume()
{
    paused_ = false;
    for (const auto& it : std::exchange(finished_while_paused_, {}))
        finish_work(it);
    begin_work();
}

void upstream_requests::begin_cold_start(core::milliseconds grace)
{
    cold_ = {read_clock(), spec_.cold_share, spec_.cold_ramp};
    grace_ = grace;
    overload_counts_from_.reset();
}

std::shared_ptr<transport::http2_stream_listener> upstream_requests::accept(
    const std::shared_ptr<transport::http2_stream>& stream, const transport::header_list& headers,
    transport::end_of_stream)
{
    const auto now = read_clock();
    const auto path = decode_request_path(transport::find_header(headers, ":path").value_or(""));
    ++counts_.requests;
    counts_.last_request = now;
    if (!path || path->service != spec_.service) {
        ++counts_.misrouted;
        return nullptr;
    }
    if (!paused_ && is_overloaded(now))
        return nullptr;
    auto it = std::make_shared<exchange>(*this, stream, *path);
    waiting_.push_back(it);
    begin_work();
    return it;
}

bool upstream_requests::is_overloaded(core::time_point now)
{
    if (now < refusing_until_)
        return true;
    const auto share = cold_.load_share(now);
    const auto limit = std::max(1.0, std::floor(share * spec_.slots));
    if (share >= 1 || static_cast<double>(working_.size() + waiting_.size()) < limit)
        return false;
    if (!overload_counts_from_)
        overload_counts_from_ = now + grace_;
    else if (now >= *overload_counts_from_)
        ++counts_.cold_overload;
    refusing_until_ = now + recovery_time;
    return true;
}

void upstream_requests::begin_work()
{
    while (!paused_ && !waiting_.empty() && working_.size() < spec_.slots) {
        auto it = waiting_.front();
        waiting_.pop_front();
        working_.push_back(it);
        ledger_.add(it->path().key, read_clock());
        const core::milliseconds work(static_cast<std::int64_t>(it->path().work_ms));
        QTimer::singleShot(work, this, [this, weak = std::weak_ptr(it)] {
            if (const auto done = weak.lock())
                finish_work(done);
        });
    }
}

void upstream_requests::finish_work(const std::shared_ptr<exchange>& it)
{
    const auto found = std::find(working_.begin(), working_.end(), it);
    if (found == working_.end())
        return;
    if (paused_) {
        finished_while_paused_.push_back(it);
        return;
    }
    // The slot is free as soon as the answer is ready. Sending the answer occupies no slot.
    working_.erase(found);
    it->answer(spec_.name);
    begin_work();
}

void upstream_requests::remove(const exchange& it)
{
    const auto is_it = [&](const auto& other) { return other.get() == &it; };
    waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(), is_it), waiting_.end());
    working_.erase(std::remove_if(working_.begin(), working_.end(), is_it), working_.end());
    begin_work();
}

} // namespace ibisdyke::measure
