#include "ibisdyke/configuration/command_history.h"

#include <algorithm>
#include <utility>

namespace ibisdyke::configuration {

namespace {

template <typename Record>
bool equal_records(
    const std::vector<std::shared_ptr<const Record>>& a, const std::vector<std::shared_ptr<const Record>>& b)
{
    return std::equal(
        a.begin(), a.end(), b.begin(), b.end(), [](const auto& x, const auto& y) { return x == y || *x == *y; });
}

/// The part of a record's size that does not depend on its content. Covers the fixed fields and the allocations.
constexpr std::size_t fixed_record_bytes = 256;

/// The part of a profile's or service's list entry that does not depend on its content.
constexpr std::size_t fixed_entry_bytes = 64;

std::size_t content_bytes(const profile& it)
{
    auto result = it.name.size();
    for (const auto& neighbour : it.neighbours)
        result += fixed_entry_bytes + neighbour.name.value().size();
    return result;
}

std::size_t content_bytes(const service& it)
{
    return it.name.size() + it.profile.size() + it.owner.value().size() + it.addresses.size() * fixed_entry_bytes;
}

std::size_t content_bytes(const domain& it)
{
    return it.name.value().size() + it.history.size() * fixed_entry_bytes;
}

std::size_t content_bytes(const token& it)
{
    return it.digest.size() + it.owner.value().size();
}

/// Returns the size of the variable part of a recorded change or of a document.
class content_measure {
public:
    std::size_t operator()(const put_profile& it) const { return content_bytes(it.document); }
    std::size_t operator()(const remove_profile& it) const { return it.name.size(); }
    std::size_t operator()(const put_service& it) const { return content_bytes(it.document); }
    std::size_t operator()(const remove_service& it) const { return it.name.size(); }
    std::size_t operator()(const set_domain_state& it) const { return it.name.value().size(); }
    std::size_t operator()(const put_token& it) const { return content_bytes(it.document); }
    std::size_t operator()(const remove_token& it) const { return it.digest.size(); }
    std::size_t operator()(const set_upstream_drain&) const { return 0; }
    std::size_t operator()(const route_plan_summary&) const { return 0; }
    std::size_t operator()(const std::monostate&) const { return 0; }
    std::size_t operator()(const profile& it) const { return content_bytes(it); }
    std::size_t operator()(const service& it) const { return content_bytes(it); }
    std::size_t operator()(const domain& it) const { return content_bytes(it); }
    std::size_t operator()(const token& it) const { return content_bytes(it); }
};

/// Converts a change to the form in which the history records it.
class change_recorder {
public:
    template <typename Kind>
    recorded_change operator()(const Kind& it) const
    {
        return it;
    }
    recorded_change operator()(const change_route_plan& it) const { return summarize(it); }
};

template <typename Record>
void drop_oldest(std::vector<std::shared_ptr<const Record>>& records, std::size_t& bytes, std::size_t max_records,
    std::size_t max_bytes)
{
    auto kept = records.begin();
    while (records.end() - kept > 1
        && (static_cast<std::size_t>(records.end() - kept) > max_records || bytes > max_bytes)) {
        bytes -= record_bytes(**kept);
        ++kept;
    }
    records.erase(records.begin(), kept);
}

template <typename Map, typename Key>
document find_document(const Map& documents, const Key& key)
{
    const auto it = documents.find(key);
    return it == documents.end() ? document{} : document{it->second};
}

document find_service(const configuration_state& state, const std::string& name)
{
    for (const auto& [id, it] : state.services) {
        if (it.name == name)
            return it;
    }
    return {};
}

/// Returns the document that a change applies to.
class document_finder {
public:
    explicit document_finder(const configuration_state& state)
        : state_(state)
    {
    }

    document operator()(const put_profile& it) const { return find_document(state_.profiles, it.document.name); }
    document operator()(const remove_profile& it) const { return find_document(state_.profiles, it.name); }
    document operator()(const put_service& it) const { return find_service(state_, it.document.name); }
    document operator()(const remove_service& it) const { return find_service(state_, it.name); }
    document operator()(const set_domain_state& it) const { return find_document(state_.domains, it.name); }
    document operator()(const put_token& it) const { return find_document(state_.tokens, it.document.digest); }
    document operator()(const remove_token& it) const { return find_document(state_.tokens, it.digest); }
    document operator()(const set_upstream_drain&) const { return {}; }
    document operator()(const change_route_plan&) const { return {}; }

private:
    const configuration_state& state_;
};

/// Returns the kind and the key of the object that a change applies to.
class subject_finder {
public:
    using result = std::pair<std::string, std::string>;

    result operator()(const put_profile& it) const { return {"profile", it.document.name}; }
    result operator()(const remove_profile& it) const { return {"profile", it.name}; }
    result operator()(const put_service& it) const { return {"service", it.document.name}; }
    result operator()(const remove_service& it) const { return {"service", it.name}; }
    result operator()(const set_domain_state& it) const { return {"domain", it.name.value()}; }
    result operator()(const put_token& it) const { return {"token", it.document.digest}; }
    result operator()(const remove_token& it) const { return {"token", it.digest}; }
    result operator()(const set_upstream_drain& it) const { return {"upstream", std::to_string(it.id.value())}; }
    result operator()(const route_plan_summary& it) const { return {"route_plan", std::to_string(it.revision)}; }
};

} // namespace

bool operator==(const command_history& a, const command_history& b)
{
    return equal_records(a.outcomes, b.outcomes) && equal_records(a.changes, b.changes);
}

route_plan_summary summarize(const change_route_plan& it)
{
    return {it.based_on, it.revision, it.idle_timeout, it.services.size(), it.routes.size(), it.removed.size()};
}

recorded_change to_recorded(const change& it)
{
    return std::visit(change_recorder(), it);
}

std::size_t record_bytes(const outcome_record& it)
{
    return fixed_record_bytes + it.id.value().size() + it.result.field.size() + it.result.message.size();
}

std::size_t record_bytes(const change_record& it)
{
    const content_measure measure;
    return fixed_record_bytes + it.id.value().size() + it.author.size() + std::visit(measure, it.changed)
        + std::visit(measure, it.before) + std::visit(measure, it.after);
}

void append(command_history& history, outcome_record added)
{
    history.outcome_bytes += record_bytes(added);
    history.outcomes.push_back(std::make_shared<const outcome_record>(std::move(added)));
}

void append(command_history& history, change_record added)
{
    history.change_bytes += record_bytes(added);
    history.changes.push_back(std::make_shared<const change_record>(std::move(added)));
}

void drop_oldest(command_history& history)
{
    drop_oldest(history.outcomes, history.outcome_bytes, max_outcomes, max_outcome_bytes);
    drop_oldest(history.changes, history.change_bytes, max_history, max_history_bytes);
}

const outcome* find_outcome(const command_history& history, const core::command_id& id)
{
    // A command is usually sent again soon after the first time, so the newest records are searched first.
    const auto it = std::find_if(
        history.outcomes.rbegin(), history.outcomes.rend(), [&](const auto& record) { return record->id == id; });
    return it == history.outcomes.rend() ? nullptr : &(*it)->result;
}

command_history append_command(const command_history& history, const command& it, const outcome& result,
    const configuration_state& before, const configuration_state& after, const core::version& at)
{
    auto next = history;
    append(next, outcome_record{it.id, result});
    if (result.kind == outcome_kind::accepted) {
        for (const auto& c : it.changes)
            append(next,
                change_record{at, it.id, it.author, it.proposed_at, to_recorded(c),
                    std::visit(document_finder(before), c), std::visit(document_finder(after), c)});
    }
    drop_oldest(next);
    return next;
}

std::string subject_kind(const recorded_change& it)
{
    return std::visit(subject_finder(), it).first;
}

std::string subject_name(const recorded_change& it)
{
    return std::visit(subject_finder(), it).second;
}

} // namespace ibisdyke::configuration
