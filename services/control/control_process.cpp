#include "control_process.h"

#include "ibisdyke/accounting/wire/codec.h"
#include "ibisdyke/configuration/token_digest.h"
#include "ibisdyke/core/error.h"
#include "ibisdyke/core/parse_number.h"
#include "ibisdyke/frontends/discovery/control_settings.h"
#include "ibisdyke/observability/log.h"
#include "ibisdyke/replication/recovery.h"
#include "ibisdyke/transport/clock.h"
#include "ibisdyke/transport/signal_watcher.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace ibisdyke::control {

namespace {

using settings::presence;

constexpr std::uint64_t max_control_id = 0xffff'ffff;
constexpr std::size_t max_members = 9;
/// A group of 9 members tolerates the loss of 4.
constexpr std::uint64_t max_tolerated_losses = 4;
constexpr core::milliseconds default_drain_limit{5000};
constexpr core::milliseconds max_drain_limit{60'000};
constexpr core::milliseconds leadership_transfer_timeout{1000};
constexpr core::milliseconds bootstrap_retry_period{100};
constexpr const char* form_group_yes = "yes";
constexpr const char* bootstrap_command = "bootstrap-token";

/// Parses "ID=ENDPOINT" or "ID=ENDPOINT/ADMIN". ADMIN is optional because each member reports its own administration
/// address.
replication::member parse_member(std::string_view text)
{
    const auto refuse = [&] {
        throw core::invalid_input("--peers", std::string(text),
            "ID=ENDPOINT entries separated by commas, such as 1=10.0.0.1:7000,2=10.0.1.1:7000");
    };
    const auto equals = std::min(text.find('='), text.size());
    const auto slash = std::min(text.find('/'), text.size());
    const auto id = core::parse_number(text.substr(0, equals)).value_or(0);
    if (id == 0 || id > max_control_id || equals >= slash)
        refuse();
    replication::member result;
    result.id = core::control_id(id);
    try {
        result.peer_endpoint = core::endpoint::create(text.substr(equals + 1, slash - equals - 1));
        if (slash != text.size())
            result.admin_endpoint = core::endpoint::create(text.substr(slash + 1));
    } catch (const core::invalid_input&) {
        refuse();
    }
    return result;
}

std::vector<replication::member> parse_members(std::string_view text)
{
    std::vector<replication::member> result;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        result.push_back(parse_member(text.substr(0, comma)));
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    if (result.size() > max_members)
        throw core::invalid_input("--peers", std::to_string(result.size()) + " members", "at most 9 members");
    return result;
}

/// Returns the id of a process in a group that is formed from seeds. The address identifies the process, because no two
/// members share an address.
core::control_id control_id_of(const core::endpoint& peer)
{
    return core::control_id(peer.address);
}

core::endpoint own_peer_endpoint(const settings::setting_values& values)
{
    return values.endpoint(values.is_empty("advertise-peer") ? "listen-peer" : "advertise-peer");
}

/// Returns the seeds as the members of a new group, or an empty list when this process must not form a group.
std::vector<replication::member> seed_members(const settings::setting_values& values)
{
    const auto own = own_peer_endpoint(values);
    const auto seeds = frontends::peer_endpoints(values, "seeds");
    const bool is_seed = std::find(seeds.begin(), seeds.end(), own) != seeds.end();
    if (values.text("form-group") != form_group_yes || !is_seed)
        return {};
    std::vector<replication::member> result;
    for (const auto& it : seeds) {
        replication::member member;
        member.id = control_id_of(it);
        member.peer_endpoint = it;
        result.push_back(member);
    }
    return result;
}

frontends::replicated_control_group_options group_options(
    const settings::setting_values& values, std::uint32_t source_address)
{
    frontends::replicated_control_group_options result;
    result.source_address = source_address;
    result.snapshot_entries = values.number("snapshot-entries");
    const auto own_peer = own_peer_endpoint(values);
    const bool has_seeds = !values.is_empty("seeds");
    if (!has_seeds && values.number("id") == 0)
        throw core::invalid_input("--id", "0", "a number of at least 1 for a group without --seeds");
    result.raft.self = has_seeds ? control_id_of(own_peer) : core::control_id(values.number("id"));
    result.raft.initial_members = has_seeds ? seed_members(values) : parse_members(values.text("peers"));
    result.raft.admin_endpoint =
        values.endpoint(values.is_empty("advertise-admin") ? "listen-admin" : "advertise-admin");
    for (auto& it : result.raft.initial_members) {
        if (it.id == result.raft.self)
            it.peer_endpoint = own_peer;
    }
    result.raft.heartbeat = values.duration("raft-heartbeat-ms");
    result.raft.min_election_timeout = values.duration("raft-election-ms");
    result.raft.max_election_timeout = result.raft.min_election_timeout * 2;
    if (result.raft.heartbeat * 2 > result.raft.min_election_timeout)
        throw core::invalid_input(
            "--raft-election-ms", values.text("raft-election-ms"), "at least twice --raft-heartbeat-ms");
    return result;
}

void recover_alone(frontends::file_log_storage& storage, core::control_id self, const std::string& confirmed)
{
    const auto version = core::parse_version(confirmed);
    if (!version)
        throw core::invalid_input("--recover-alone", confirmed, "a term and an index, such as 3.120");
    const auto batch = replication::recover_alone(storage.load(), self, storage.incarnation(), *version);
    storage.persist(batch);
    observability::write_log(observability::log_level::warning, "recovered_alone", {{"term", batch.vote->term}});
}

/// Opens the data folder. Retries while its disk is full.
std::unique_ptr<frontends::file_log_storage> open_storage(const std::string& folder)
{
    for (bool waited = false;; waited = true) {
        try {
            auto result = frontends::file_log_storage::create(folder);
            if (waited)
                observability::write_log(observability::log_level::info, "storage_has_room", {});
            return result;
        } catch (const core::storage_full& it) {
            if (!waited)
                observability::write_log(observability::log_level::error, "storage_full", {{"error", it.what()}});
        }
        if (transport::signal_watcher::wait_for_stop(replication::full_storage_retry_period))
            throw core::error("stopped while waiting for free space on the disk of " + folder);
    }
}

} // namespace

void control_process::declare_settings(settings::settings_parser& parser)
{
    using namespace std::chrono_literals;
    frontends::process_runtime::declare_settings(parser);
    parser.add_number(
        "id", "Id of this process in the control group; 0 is allowed only with --seeds", 0, 0, max_control_id);
    parser.add_text("data", "Data folder", "", presence::required);
    parser.add_text("peers",
        "Members of the group as ID=ENDPOINT,...; empty for a process that is added to an existing group", "",
        presence::optional);
    frontends::declare_peer_port(parser);
    parser.add_endpoints("seeds",
        "Peer endpoints of some control processes, instead of --id and --peers; they form the group, which other "
        "control processes then join",
        presence::optional);
    parser.add_choice("form-group",
        "Whether the seeds may form a new group; use yes only when the system starts for the first "
        "time",
        {"no", form_group_yes});
    parser.add_number("tolerated-losses",
        "Number of members whose data folders may be lost at the same time; a group formed from seeds keeps enough "
        "voters for this",
        1, 0, max_tolerated_losses);
    parser.add_endpoint(
        "listen-operators", "Address for operators' route plans, if the front end has one", "", presence::optional);
    parser.add_endpoint("listen-peer", "Address for other processes (HTTP/2)", "", presence::required);
    parser.add_endpoint(
        "advertise-peer", "Address at which other processes reach listen-peer, if it differs", "", presence::optional);
    parser.add_endpoint("advertise-admin", "Address at which other processes reach listen-admin, if it differs", "",
        presence::optional);
    parser.add_text("bootstrap-token", "Token that becomes the first administrator token", "", presence::optional);
    parser.add_duration("raft-heartbeat-ms", "Time between heartbeats of the leader", 50ms, 10ms, 10s);
    parser.add_duration("raft-election-ms",
        "Minimum time without a leader before an election; the maximum is twice as long", 150ms, 20ms, 60s);
    parser.add_text("recover-alone",
        "Makes this process the only member of the group after the majority was permanently lost; the value is the "
        "last position of its log",
        "", presence::optional);
    parser.add_number(
        "snapshot-entries", "Number of log entries after which a snapshot replaces the log", 1024, 1, 1'000'000);
    parser.add_duration("drain-limit-ms", "Maximum time to finish open calls during a graceful shutdown",
        default_drain_limit, 0ms, max_drain_limit);
}

control_process::control_process(const settings::settings_source& source, const frontends::front_end& front_end)
    : runtime_(frontends::process_runtime::create("control", source.initial()))
    , bootstrap_token_(source.initial().text("bootstrap-token"))
    , drain_limit_(source.initial().duration("drain-limit-ms"))
{
    const auto& values = source.initial();
    const auto options = group_options(values, runtime_->identity().source_address);
    auto* const meter = &runtime_->control_traffic();
    storage_ = open_storage(values.text("data"));
    if (!values.is_empty("recover-alone"))
        recover_alone(*storage_, options.raft.self, values.text("recover-alone"));
    group_ = std::make_unique<frontends::replicated_control_group>(
        options, *storage_, router_, runtime_->counters(), meter, [this](const std::string&) { runtime_->fail(); },
        nullptr);
    subscriptions_ = std::make_unique<frontends::subscription_server>(
        router_, runtime_->counters(),
        [this]() -> std::optional<core::milliseconds> {
            if (group_->is_leader() || group_->leader())
                return core::milliseconds{0};
            return std::nullopt;
        },
        dissemination::default_max_subscribers, nullptr);
    subscriptions_->publish(group_->state());
    group_->on_state_change([this](const auto& state) { subscriptions_->publish(state); });
    leases_ = std::make_unique<frontends::lease_manager>(router_, *group_, runtime_->counters(),
        runtime_->identity().source_address, meter, accounting::decode_usage_report, membership::lease_limits{},
        nullptr);
    api_ = std::make_unique<frontends::admin_api>(*group_, *leases_, runtime_->counters(), nullptr);
    create_operators_server(values, front_end);
    if (!values.is_empty("seeds"))
        create_membership_manager(values, options.raft);
    runtime_->watch_settings(source, [this](const settings::setting_values& next) {
        if (membership_manager_)
            membership_manager_->set_seeds(frontends::peer_endpoints(next, "seeds"));
    });
    peer_server_.reset(transport::http2_server::create(
        values.endpoint("listen-peer"), transport::http2_limits{}, router_, meter, nullptr));
    QObject::connect(&bootstrap_timer_, &QTimer::timeout, runtime_->parent(), [this] { ensure_bootstrap_token(); });
    if (!bootstrap_token_.empty())
        bootstrap_timer_.start(bootstrap_retry_period);
}

void control_process::create_membership_manager(
    const settings::setting_values& values, const replication::raft_options& options)
{
    replication::member self;
    self.id = options.self;
    self.folder_incarnation = storage_->incarnation();
    self.peer_endpoint = own_peer_endpoint(values);
    self.admin_endpoint = options.admin_endpoint;
    membership_manager_ = std::make_unique<frontends::group_membership_manager>(*group_, self,
        frontends::peer_endpoints(values, "seeds"), router_, runtime_->counters(), runtime_->identity().source_address,
        &runtime_->control_traffic(), replication::limits_for_losses(values.number("tolerated-losses")), nullptr);
}

void control_process::create_operators_server(
    const settings::setting_values& values, const frontends::front_end& front_end)
{
    plans_ = std::make_unique<frontends::route_plan_service>(*group_, runtime_->counters(), nullptr);
    if (values.is_empty("listen-operators"))
        return;
    operators_server_ = std::make_unique<QHttpServer>();
    front_end.serve_operators(*operators_server_, *plans_);
    frontends::listen(*operators_server_, values.endpoint("listen-operators"));
}

void control_process::add_gauges()
{
    auto& counters = runtime_->counters();
    counters.add_gauge("group_leads", [this] { return group_->is_leader() ? 1 : 0; });
    counters.add_gauge("group_term", [this] { return static_cast<double>(group_->node().term()); });
    counters.add_gauge("group_committed", [this] { return static_cast<double>(group_->node().commit_index()); });
    counters.add_gauge("group_members", [this] { return static_cast<double>(group_->members().size()); });
    counters.add_gauge("plan_revision", [this] { return static_cast<double>(group_->plan_document().revision); });
}

frontends::exit_code control_process::run()
{
    add_gauges();
    return runtime_->run(
        {group_.get(), leases_.get(), subscriptions_.get()}, [this] { return check_health(); }, [this] { stop(); },
        [this](QHttpServer& server) { api_->serve(server); });
}

frontends::health control_process::check_health() const
{
    if (group_->leader())
        return {true, ""};
    return {false, "no leader is known"};
}

void control_process::ensure_bootstrap_token()
{
    if (!group_->is_leader())
        return;
    const auto& tokens = group_->state()->configuration.tokens;
    const bool has_administrator = std::any_of(tokens.begin(), tokens.end(),
        [](const auto& it) { return it.second.assigned_role == configuration::role::administer; });
    if (has_administrator) {
        bootstrap_timer_.stop();
        return;
    }
    configuration::token document{
        configuration::token_digest(bootstrap_token_), core::neighbour("operators"), configuration::role::administer};
    configuration::command command{core::command_id(bootstrap_command), "settings", transport::read_wall_clock(),
        {configuration::put_token{std::move(document)}}};
    group_->submit(command, [](const auto&) {});
}

void control_process::stop()
{
    group_->transfer_leadership(leadership_transfer_timeout, [this] {
        peer_server_->shut_down([this] { runtime_->finish(); });
        QTimer::singleShot(drain_limit_, runtime_->parent(), [this] { runtime_->finish(); });
    });
}

} // namespace ibisdyke::control
