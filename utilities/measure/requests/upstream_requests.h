#pragma once

#include "ibisdyke/core/endpoint.h"
#include "ibisdyke/transport/http2_server.h"
#include "measure/requests/execution_ledger.h"
#include "measure/requests/request_path.h"
#include "measure/support/cold_start.h"

#include <QObject>

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace ibisdyke::measure {

/// Settings of the request side of a fake upstream.
struct upstream_requests_spec {
    /// "SERVICE-N".
    std::string name;
    std::string service;
    core::endpoint listen;
    std::uint32_t slots = 1;
    double cold_share = 0.1;
    core::milliseconds cold_ramp{10'000};

    friend bool operator==(const upstream_requests_spec&, const upstream_requests_spec&) = default;
};

/// Results of the request side of a fake upstream.
struct upstream_requests_counts {
    std::uint64_t requests = 0;
    /// Requests for another service.
    std::uint64_t misrouted = 0;
    /// Requests beyond the limit of the cold start. Those that are refused within a second after such a request are not
    /// counted.
    std::uint64_t cold_overload = 0;
    std::uint64_t cancelled = 0;
    core::time_point last_request;

    friend bool operator==(const upstream_requests_counts&, const upstream_requests_counts&) = default;
};

/// The request side of a fake upstream. Serves as many requests at the same time as it has slots and queues further
/// requests. In cold start the limit is a share of the slots; a request beyond the limit makes the upstream refuse all
/// requests for one second.
class upstream_requests final : public QObject, public transport::http2_stream_acceptor {
public:
    /// `ledger` must outlive the object.
    upstream_requests(upstream_requests_spec spec, execution_ledger& ledger, QObject* parent);
    ~upstream_requests() override;
    upstream_requests(const upstream_requests&) = delete;
    upstream_requests& operator=(const upstream_requests&) = delete;
    upstream_requests(upstream_requests&&) = delete;
    upstream_requests& operator=(upstream_requests&&) = delete;

    /// Starts listening and begins a cold start. Throws core::system_failure.
    void start();
    /// Closes all connections and discards unfinished requests.
    void stop();
    /// Starts no work and begins no answers until resume().
    void pause();
    void resume();
    /// Begins a cold start without a restart. The agent notices this cold start only by a refusal, so overload is
    /// counted from `grace` after the first refusal.
    void begin_cold_start(core::milliseconds grace);

    const upstream_requests_counts& counts() const { return counts_; }

    std::shared_ptr<transport::http2_stream_listener> accept(const std::shared_ptr<transport::http2_stream>& stream,
        const transport::header_list& headers, transport::end_of_stream end) override;

private:
    class exchange;
    friend class exchange;

    bool is_overloaded(core::time_point now);
    void begin_work();
    void finish_work(const std::shared_ptr<exchange>& it);
    void remove(const exchange& it);

    upstream_requests_spec spec_;
    execution_ledger& ledger_;
    transport::http2_server* server_ = nullptr;
    cold_start cold_;
    core::milliseconds grace_{0};
    /// Time from which overload is counted; nothing until the first refusal of a cold start without a restart.
    std::optional<core::time_point> overload_counts_from_;
    core::time_point refusing_until_;
    bool paused_ = false;
    std::deque<std::shared_ptr<exchange>> waiting_;
    std::vector<std::shared_ptr<exchange>> working_;
    std::vector<std::shared_ptr<exchange>> finished_while_paused_;
    upstream_requests_counts counts_;
};

} // namespace ibisdyke::measure
