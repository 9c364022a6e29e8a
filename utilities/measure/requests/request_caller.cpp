#include "measure/requests/request_caller.h"

#include "measure/requests/answer_body.h"
#include "measure/requests/request_path.h"
#include "measure/support/clock.h"

#include <algorithm>
#include <utility>

namespace ibisdyke::measure {

namespace {

constexpr core::milliseconds tick_interval{5};

// A verdict that is sent at the deadline arrives shortly after it.
constexpr core::milliseconds verdict_grace{500};

constexpr core::milliseconds resend_after{50};
constexpr core::milliseconds min_time_for_resend{100};

// Bytes that a slow reader reads in each tick, about 1 MB per second.
constexpr std::size_t slow_read_bytes = 5'000;

std::string read_wall_clock_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::to_string(std::chrono::duration_cast<core::milliseconds>(now).count());
}

} // namespace

/// A request as its caller sees it.
struct request_caller::request {
    std::uint64_t id = 0;
    std::size_t service = 0;
    request_record record;
    request_path path;
    bool slow_reader = false;
    core::time_point began;
    core::time_point deadline;
    std::string first_sent_ms;
    /// An earlier attempt ended without a verdict, so the request may have run.
    bool may_have_run_before = false;
    std::optional<core::time_point> send_again_at;
    std::shared_ptr<attempt> current;
};

/// One attempt of a request. Receives the events of the attempt's stream.
class request_caller::attempt final : public transport::http2_stream_listener {
public:
    attempt(request_caller& owner, const request& it)
        : owner_(&owner)
        , id_(it.id)
        , slow_(it.slow_reader)
        , reader_(it.path.key)
    {
    }

    void set_stream(std::shared_ptr<transport::http2_stream> stream) { stream_ = std::move(stream); }

    void on_headers(const transport::header_list& headers, transport::end_of_stream end) override
    {
        status_ = transport::find_header(headers, ":status").value_or("");
        verdict_ = transport::find_header(headers, "ibisdyke-verdict").value_or("");
        if (end == transport::end_of_stream::yes)
            report();
    }

    void on_data(std::string_view bytes, transport::end_of_stream end) override
    {
        reader_.append(bytes);
        unread_ += bytes.size();
        if (!slow_)
            acknowledge_read(unread_);
        if (end == transport::end_of_stream::yes)
            report();
    }

    /// Acknowledges up to `max` received bytes, so that the balancer may send more.
    void acknowledge_read(std::size_t max)
    {
        const auto n = std::min(max, unread_);
        if (n == 0 || !stream_)
            return;
        unread_ -= n;
        stream_->acknowledge(n);
    }

    void on_closed(transport::close_reason reason) override
    {
        stream_.reset();
        if (reason == transport::close_reason::refused)
            end(request_end::not_run, false, false);
        else
            end(request_end::lost, false, false);
    }

    void cancel()
    {
        owner_ = nullptr;
        // The local pointer keeps the stream alive, because reset() reports the end of the stream before it returns.
        if (const auto stream = std::exchange(stream_, nullptr))
            stream->reset(transport::reset_reason::cancelled);
    }

private:
    void report()
    {
        if (status_ == "200") {
            const bool complete = reader_.is_complete();
            end(complete ? request_end::answered : request_end::lost, true, !complete);
        } else if (verdict_ == "not-run") {
            // Only an overload (503) is temporary. Any other rejection is final.
            end(request_end::not_run, status_ != "503", false);
        } else if (verdict_ == "may-have-run") {
            end(request_end::may_have_run, true, false);
        } else {
            end(request_end::lost, true, false);
        }
    }

    void end(request_end result, bool final, bool wrong_answer)
    {
        if (auto* const owner = std::exchange(owner_, nullptr))
            owner->end_attempt(id_, result, final, wrong_answer);
    }

    request_caller* owner_;
    std::uint64_t id_;
    bool slow_;
    std::size_t unread_ = 0;
    answer_reader reader_;
    std::shared_ptr<transport::http2_stream> stream_;
    std::string status_;
    std::string verdict_;
};

request_caller::request_caller(const topology& deployment, caller_identity identity,
    const core::snapshot_publisher<request_endpoints>& balancers, QObject* parent)
    : QObject(parent)
    , deployment_(deployment)
    , identity_(std::move(identity))
    , balancers_(balancers)
    , random_(deployment.seed + 1)
    , timer_(this)
{
    connect(&timer_, &QTimer::timeout, this, &request_caller::tick);
}

request_caller::~request_caller()
{
    for (const auto& [id, it] : requests_) {
        if (it->current)
            it->current->cancel();
    }
}

void request_caller::start()
{
    last_tick_ = read_clock();
    timer_.start(tick_interval);
}

void request_caller::tick()
{
    const auto now = read_clock();
    const auto elapsed_s = std::chrono::duration<double>(now - last_tick_).count();
    due_requests_ += elapsed_s * deployment_.requests_per_s * rate_factor_;
    last_tick_ = now;
    for (; due_requests_ >= 1; due_requests_ -= 1) {
        if (opens_new_requests_)
            open_request(now);
    }
    std::vector<request*> all;
    for (const auto& [id, it] : requests_)
        all.push_back(it.get());
    for (auto* const it : all) {
        if (now >= it->deadline + verdict_grace) {
            finish(*it, request_end::lost, now);
            continue;
        }
        if (it->current && it->slow_reader)
            it->current->acknowledge_read(slow_read_bytes);
        if (it->send_again_at && now >= *it->send_again_at)
            send(*it, now);
    }
    update_longest_gap(now);
}

void request_caller::open_request(core::time_point now)
{
    std::vector<double> weights;
    for (const auto& service : deployment_.services)
        weights.push_back(service.request_weight);
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    auto it = std::make_unique<request>();
    it->id = next_id_++;
    it->service = pick(random_);
    const auto& service = deployment_.services[it->service];
    const auto& mix = service.requests;
    const auto draw = [this](double probability) { return std::bernoulli_distribution(probability)(random_); };
    it->record.service = service.name;
    it->record.key = "k" + std::to_string(deployment_.seed) + "-" + std::to_string(it->id);
    it->record.idempotent = !draw(mix.non_idempotent);
    it->record.large = it->record.idempotent && draw(mix.large_share);
    it->path = {service.name, it->record.key, static_cast<std::uint64_t>(mix.work.count()),
        it->record.large ? mix.large_bytes : mix.answer_bytes};
    it->slow_reader = draw(mix.slow_readers);
    it->began = now;
    it->deadline = now + mix.deadline;
    it->first_sent_ms = read_wall_clock_ms();
    auto& stored = *requests_.emplace(it->id, std::move(it)).first->second;
    update_longest_gap(now);
    send(stored, now);
}

void request_caller::send(request& it, core::time_point now)
{
    it.send_again_at.reset();
    auto* const balancer = pick_balancer();
    if (balancer == nullptr) {
        it.send_again_at = now + resend_after;
        return;
    }
    auto& valid_until = it.record.not_run_valid_until;
    if (!valid_until.empty() && valid_until.back() == core::time_point::max())
        valid_until.back() = now;
    ++it.record.attempts;
    transport::header_list headers{{":method", it.record.idempotent ? "GET" : "POST"}, {":scheme", "http"},
        {":authority", it.record.service}, {":path", encode(it.path)}, {"authorization", "Bearer " + identity_.token},
        {"ibisdyke-deadline-ms", std::to_string(milliseconds_between(now, it.deadline))},
        {"ibisdyke-first-sent", it.first_sent_ms}};
    if (!it.record.idempotent)
        headers.insert(headers.end(),
            {{"idempotency-key", it.record.key}, {"ibisdyke-send-count", std::to_string(it.record.attempts)}});
    it.current = std::make_shared<attempt>(*this, it);
    const auto current = it.current;
    current->set_stream(balancer->open_stream(headers, transport::end_of_stream::yes, current));
}

void request_caller::end_attempt(std::uint64_t id, request_end result, bool final, bool wrong_answer)
{
    const auto found = requests_.find(id);
    if (found == requests_.end())
        return;
    auto& it = *found->second;
    const auto now = read_clock();
    it.current.reset();
    it.record.wrong_answer = it.record.wrong_answer || wrong_answer;
    if (result == request_end::lost)
        it.may_have_run_before = true;
    // A lost attempt is final only when a response arrived that is neither a complete answer nor
    // a verdict.
    it.record.interrupted = it.record.interrupted || (result == request_end::lost && !final);
    if (result == request_end::not_run && !it.may_have_run_before)
        it.record.not_run_valid_until.push_back(core::time_point::max());
    if (final || (result == request_end::not_run && it.deadline - now < min_time_for_resend)) {
        finish(it, result, now);
        return;
    }
    // The request is sent again until its deadline, at which tick() ends it.
    it.send_again_at = now + resend_after;
}

void request_caller::finish(request& it, request_end end, core::time_point now)
{
    if (it.current)
        it.current->cancel();
    it.record.end = end;
    it.record.ended = now;
    it.record.latency_ms = milliseconds_between(it.began, now);
    records_.push_back(it.record);
    if (end == request_end::answered)
        unanswered_since_.reset();
    requests_.erase(it.id);
    update_longest_gap(now);
}

void request_caller::update_longest_gap(core::time_point now)
{
    if (requests_.empty()) {
        unanswered_since_.reset();
        return;
    }
    if (!unanswered_since_)
        unanswered_since_ = now;
    longest_gap_ms_ = std::max(longest_gap_ms_, milliseconds_between(*unanswered_since_, now));
}

transport::http2_client* request_caller::pick_balancer()
{
    const auto healthy = balancers_.load();
    if (!healthy || healthy->empty())
        return nullptr;
    const auto& to = (*healthy)[std::uniform_int_distribution<std::size_t>(0, healthy->size() - 1)(random_)];
    auto& client = clients_[to];
    if (!client) {
        client = std::make_unique<transport::http2_client>(
            to, identity_.address, transport::http2_limits{}, nullptr, nullptr);
    }
    return client.get();
}

} // namespace ibisdyke::measure
