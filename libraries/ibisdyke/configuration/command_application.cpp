#include "ibisdyke/configuration/command_application.h"

#include "ibisdyke/configuration/validation.h"
#include "ibisdyke/core/error.h"

#include <algorithm>

namespace ibisdyke::configuration {

namespace {

/// Intervals kept for a failure domain. An agent finds flows from before the oldest interval by a full search.
constexpr std::size_t max_domain_intervals = 64;

/// Thrown when a change cannot be made; holds the outcome of its command.
class change_refused : public core::error {
public:
    change_refused(outcome_kind kind, std::string field, const std::string& message, std::uint64_t present_revision = 0)
        : error(message)
        , result_{kind, std::move(field), message, present_revision, {}}
    {
    }

    const outcome& result() const { return result_; }

private:
    outcome result_;
};

[[noreturn]] void reject(const std::string& field, const std::string& message)
{
    throw change_refused(outcome_kind::rejected, field, message);
}

/// Applies the changes of one command to a state.
class change_applier {
public:
    change_applier(configuration_state& state, const core::version& at)
        : state_(state)
        , at_(at)
    {
    }

    void operator()(const put_profile& it)
    {
        validate(it.document);
        check_revision(it.document.name, it.based_on);
        auto document = it.document;
        document.revision = it.based_on + 1;
        state_.profiles.insert_or_assign(document.name, std::move(document));
    }

    void operator()(const remove_profile& it)
    {
        if (!state_.profiles.contains(it.name))
            reject("name", "profile \"" + it.name + "\" does not exist");
        check_revision(it.name, it.based_on);
        for (const auto& [id, service] : state_.services) {
            if (service.profile == it.name)
                reject("name", "profile \"" + it.name + "\" is in use by service \"" + service.name + "\"");
        }
        state_.profiles.erase(it.name);
    }

    void operator()(const put_service& it)
    {
        validate(it.document);
        if (!state_.profiles.contains(it.document.profile))
            reject("profile", "profile \"" + it.document.profile + "\" does not exist");
        check_addresses(it.document);
        auto document = it.document;
        const auto existing = find_service(document.name);
        document.id = existing == state_.services.end() ? new_service_id() : existing->first;
        state_.services.insert_or_assign(document.id, std::move(document));
    }

    void operator()(const remove_service& it)
    {
        const auto existing = find_service(it.name);
        if (existing == state_.services.end())
            reject("name", "service \"" + it.name + "\" does not exist");
        state_.services.erase(existing);
    }

    void operator()(const set_domain_state& it)
    {
        validate_name("domain", it.name.value());
        const auto existing = state_.domains.find(it.name);
        // A failure domain without an entry has always been in service.
        auto document = existing == state_.domains.end() ? domain{it.name, domain_state::in, {{{}, std::nullopt}}}
                                                         : existing->second;
        if (document.state != it.state) {
            document.state = it.state;
            // Both `out` and `closed` end the interval in which the domain took new flows.
            if (it.state == domain_state::in)
                document.history.push_back({at_, std::nullopt});
            else if (!document.history.back().to)
                document.history.back().to = at_;
        }
        if (document.history.size() > max_domain_intervals)
            document.history.erase(document.history.begin());
        state_.domains.insert_or_assign(it.name, std::move(document));
    }

    void operator()(const put_token& it)
    {
        validate(it.document);
        state_.tokens.insert_or_assign(it.document.digest, it.document);
        check_administrator();
    }

    void operator()(const remove_token& it)
    {
        if (state_.tokens.erase(it.digest) == 0)
            reject("digest", "token \"" + it.digest + "\" does not exist");
        check_administrator();
    }

    void operator()(const set_upstream_drain& it)
    {
        if (it.drained)
            state_.drained_upstreams.insert(it.id);
        else
            state_.drained_upstreams.erase(it.id);
    }

    void operator()(const change_route_plan& it)
    {
        const auto current = state_.plan.revision;
        if (it.based_on != current)
            throw change_refused(outcome_kind::conflict, "based_on",
                "the plan is at revision " + std::to_string(current) + ", not " + std::to_string(it.based_on), current);
        configuration::apply(state_, it, at_);
    }

private:
    using service_iterator = std::map<core::service_id, service>::iterator;

    void check_revision(const std::string& name, std::uint64_t based_on) const
    {
        const auto existing = state_.profiles.find(name);
        const std::uint64_t revision = existing == state_.profiles.end() ? 0 : existing->second.revision;
        if (revision != based_on)
            throw change_refused(outcome_kind::conflict, "based_on",
                "profile \"" + name + "\" is at revision " + std::to_string(revision) + ", not "
                    + std::to_string(based_on),
                revision);
    }

    service_iterator find_service(const std::string& name)
    {
        return std::find_if(
            state_.services.begin(), state_.services.end(), [&](const auto& it) { return it.second.name == name; });
    }

    core::service_id new_service_id() const
    {
        const core::service_id id(at_.index);
        // Outcome texts are part of the replicated state, so they must be the same in all builds of a group.
        if (state_.services.contains(id))
            reject("name", "a command may create one service; send a command for each");
        return id;
    }

    void check_addresses(const service& document) const
    {
        for (const auto& [id, other] : state_.services) {
            if (other.name == document.name)
                continue;
            for (const auto& address : document.addresses) {
                if (std::find(other.addresses.begin(), other.addresses.end(), address) != other.addresses.end())
                    reject("addresses",
                        "address " + to_string(address.address) + " belongs to service \"" + other.name + "\"");
            }
        }
    }

    void check_administrator() const
    {
        const auto& tokens = state_.tokens;
        const bool has_administrator = std::any_of(
            tokens.begin(), tokens.end(), [](const auto& it) { return it.second.assigned_role == role::administer; });
        if (!has_administrator)
            reject("digest", "one token with the role \"administer\" must remain");
    }

    configuration_state& state_;
    const core::version& at_;
};

} // namespace

command_effect apply(const configuration_state& before, const command& it, const core::version& at)
{
    command_effect result{before, {}};
    try {
        change_applier applier(result.state, at);
        for (const auto& c : it.changes)
            std::visit(applier, c);
        result.result.at = at;
    } catch (const change_refused& e) {
        result = {before, e.result()};
    } catch (const core::invalid_input& e) {
        result = {before, {outcome_kind::rejected, e.field(), e.what(), 0, {}}};
    }
    return result;
}

} // namespace ibisdyke::configuration
