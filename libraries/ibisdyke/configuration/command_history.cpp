#include "ibisdyke/configuration/command_history.h"

#include <algorithm>

namespace ibisdyke::configuration {

namespace {

template <typename Record>
bool equal_records(
    const std::vector<std::shared_ptr<const Record>>& a, const std::vector<std::shared_ptr<const Record>>& b)
{
    return std::equal(
        a.begin(), a.end(), b.begin(), b.end(), [](const auto& x, const auto& y) { return x == y || *x == *y; });
}

template <typename Record>
void drop_oldest(std::vector<std::shared_ptr<const Record>>& records, std::size_t max)
{
    if (records.size() > max)
        records.erase(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(records.size() - max));
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
    result operator()(const change_route_plan& it) const { return {"route_plan", std::to_string(it.revision)}; }
};

} // namespace

bool operator==(const command_history& a, const command_history& b)
{
    return equal_records(a.outcomes, b.outcomes) && equal_records(a.changes, b.changes);
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
    next.outcomes.push_back(std::make_shared<const outcome_record>(outcome_record{it.id, result}));
    if (result.kind == outcome_kind::accepted) {
        for (const auto& c : it.changes)
            next.changes.push_back(std::make_shared<const change_record>(change_record{at, it.id, it.author,
                it.proposed_at, c, std::visit(document_finder(before), c), std::visit(document_finder(after), c)}));
    }
    drop_oldest(next.outcomes, max_outcomes);
    drop_oldest(next.changes, max_history);
    return next;
}

std::string subject_kind(const change& it)
{
    return std::visit(subject_finder(), it).first;
}

std::string subject_name(const change& it)
{
    return std::visit(subject_finder(), it).second;
}

} // namespace ibisdyke::configuration
