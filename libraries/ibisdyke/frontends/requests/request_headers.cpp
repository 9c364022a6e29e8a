#include "ibisdyke/frontends/requests/request_headers.h"

#include "ibisdyke/core/parse_number.h"

#include <algorithm>
#include <array>
#include <utility>

namespace ibisdyke::frontends {

namespace {

bool is_forwardable(std::string_view name)
{
    static constexpr std::array<std::string_view, 9> dropped{"authorization", "connection", "host", "keep-alive",
        "proxy-connection", "te", "transfer-encoding", "upgrade", header_name::idempotency_key};
    if (name.empty() || name.front() == ':' || name.starts_with("ibisdyke-"))
        return false;
    return std::find(dropped.begin(), dropped.end(), name) == dropped.end();
}

class discarding_listener final : public transport::http2_stream_listener {
public:
    explicit discarding_listener(std::shared_ptr<transport::http2_stream> stream)
        : stream_(std::move(stream))
    {
    }

    void on_headers(const transport::header_list&, transport::end_of_stream) override { }

    void on_data(std::string_view bytes, transport::end_of_stream) override
    {
        if (stream_)
            stream_->acknowledge(bytes.size());
    }

    void on_closed(transport::close_reason) override { stream_.reset(); }

private:
    std::shared_ptr<transport::http2_stream> stream_;
};

} // namespace

transport::header_list forwardable_fields(const transport::header_list& headers)
{
    transport::header_list result;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(result),
        [](const transport::header_field& it) { return is_forwardable(it.name); });
    return result;
}

std::optional<core::verdict> read_verdict_head(const transport::header_list& head)
{
    const auto status = transport::find_header(head, ":status").value_or("");
    const auto text = transport::find_header(head, header_name::verdict);
    if (!text || (status != "503" && status != "504"))
        return std::nullopt;
    const auto verdict = requests::parse_verdict(*text);
    return verdict == core::verdict::answered ? std::nullopt : verdict;
}

std::optional<requests::send_order> read_send_order(const transport::header_list& headers)
{
    const auto text = transport::find_header(headers, header_name::send_count);
    if (!text)
        return requests::send_order::unknown;
    const auto count = core::parse_number(*text);
    if (!count || *count == 0)
        return std::nullopt;
    return *count == 1 ? requests::send_order::first : requests::send_order::unknown;
}

requests::attempt_ending to_attempt_ending(transport::close_reason reason)
{
    switch (reason) {
    case transport::close_reason::completed:
        return requests::attempt_ending::completed;
    case transport::close_reason::refused:
        return requests::attempt_ending::refused;
    case transport::close_reason::reset:
        return requests::attempt_ending::reset;
    case transport::close_reason::connection_lost:
        break;
    }
    return requests::attempt_ending::connection_lost;
}

std::shared_ptr<transport::http2_stream_listener> create_discarding_listener(
    std::shared_ptr<transport::http2_stream> stream)
{
    return std::make_shared<discarding_listener>(std::move(stream));
}

transport::header_list create_verdict_head(core::verdict it)
{
    const auto* const status = it == core::verdict::not_run ? "503" : "504";
    return {{":status", status}, {std::string(header_name::verdict), std::string(to_string(it))}};
}

} // namespace ibisdyke::frontends
