#include <ctl/settings_edit.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

#include <ctl/settings_history.hpp>
#include <decide/acceptance.hpp>
#include <decide/endpoints_change.hpp>
#include <decide/resolved_settings.hpp>
#include <store/settings_codec.hpp>

namespace bluebellspoke
{

namespace
{

constexpr std::chrono::milliseconds retry_pause{200};
constexpr std::chrono::milliseconds status_pause{100};
constexpr int most_tries = 8;

// What was written past this client may not be readable. It must not keep
// operators from mending it.
node_settings read_own(const std::string& path, const std::string& value)
{
    try
    {
        return decode_node(path, value);
    }
    catch (const settings_error&)
    {
        return {};
    }
}

// The daemons are asked before the platform: whatever they know by then, the
// platform must know too.
void check_current(std::span<const daemon_status> fleet,
                   const stored_tree& tree)
{
    for (const daemon_status& m : fleet)
        if (m.m_status && m.m_status->m_known_version > tree.m_revision)
            throw ctl_error(
                ctl_fault::platform_older_copy,
                "the daemon of " + m.m_vm.m_name + " knows version " +
                    std::to_string(m.m_status->m_known_version) +
                    ", the platform is at " + std::to_string(tree.m_revision));
}

[[noreturn]] void throw_conflict(const std::string& path,
                                 const settings_node& expected,
                                 const settings_node& present)
{
    std::string detail =
        "/" + path + " was at version " + std::to_string(expected.m_version) +
        " and is now at version " + std::to_string(present.m_version);
    for (const std::string& line :
         describe_changes(expected.m_own, present.m_own))
        detail.append("\n  ").append(line);
    throw ctl_error(ctl_fault::edit_conflict, std::move(detail));
}

/// Absent: the platform doesn't answer.
std::optional<settings_node> read_back(operator_session& s,
                                       const std::string& path)
{
    try
    {
        const platform_object object =
            get_object(s, settings_object_name(path));
        if (object.m_version == 0)
            return settings_node();
        return settings_node{object.m_version,
                             decode_node(path, object.m_value)};
    }
    catch (const ctl_error&)
    {
        return std::nullopt;
    }
}

/// Writes until it is known what became of it. The condition makes a second
/// try harmless: at most one of them can take effect.
std::uint64_t write_node(operator_session& s, const std::string& path,
                         const settings_node& before, const std::string& value)
{
    const std::string name = settings_object_name(path);
    for (int tries = 0; tries < most_tries; ++tries)
    {
        const auto result = try_put(s, {name, 0, value}, before.m_version);
        if (const auto* written = std::get_if<platform_object>(&result))
            return written->m_version;
        const bool refused =
            std::get<platform_failure>(result) == platform_failure::unavailable;
        if (refused && tries == 0)
            throw ctl_error(ctl_fault::platform_unavailable, "writing " + name);
        const std::optional<settings_node> present = read_back(s, path);
        const bool moved = present && present->m_version != before.m_version;
        if (moved && encode_node(present->m_own) == value)
            return present->m_version;
        if (moved)
            throw_conflict(path, before, *present);
        pause(s, retry_pause);
    }
    throw ctl_error(ctl_fault::outcome_unknown, "writing " + name);
}

std::vector<member_report> to_reports(std::span<const daemon_status> fleet)
{
    std::vector<member_report> reports;
    for (const daemon_status& m : fleet)
    {
        member_report r;
        r.m_name = m.m_vm.m_name;
        r.m_answered = m.m_status.has_value();
        r.m_in_epoch = m.m_in_epoch;
        if (m.m_status)
        {
            r.m_known = m.m_status->m_known_version;
            r.m_in_force = m.m_status->m_applied_version;
            r.m_refuses = !m.m_status->m_rejected_nodes.empty();
        }
        reports.push_back(r);
    }
    return reports;
}

void name_members(edit_outcome& outcome, std::span<const member_report> reports)
{
    outcome.m_waiting.clear();
    outcome.m_refused.clear();
    for (const member_report& r : reports)
    {
        if (r.m_refuses)
            outcome.m_refused.emplace_back(r.m_name);
        else if (!has_in_force(r, outcome.m_version))
            outcome.m_waiting.emplace_back(r.m_name);
    }
}

// Daemons count majorities by the version they go by. Two versions in use at
// once may differ by one endpoint and no more.
void check_endpoints(std::span<const daemon_status> fleet,
                     const settings_edit& edit, const settings_node& before,
                     const node_settings& after)
{
    const endpoints_change change =
        classify_change(before.m_own.m_endpoints, after.m_endpoints);
    if (change == endpoints_change::too_large)
        throw ctl_error(ctl_fault::endpoints_change_too_large,
                        "/" + edit.m_path);
    if (change == endpoints_change::none)
        return;
    for (const daemon_status& m : fleet)
        if (m.m_status && m.m_status->m_applied_version < before.m_version)
            throw ctl_error(ctl_fault::earlier_change_pending,
                            "/" + edit.m_path + ": " + m.m_vm.m_name);
}

}

stored_tree read_tree(operator_session& s)
{
    const platform_listing listing = list_objects(s, settings_prefix);
    stored_tree tree;
    tree.m_revision = listing.m_revision;
    for (const platform_object& object : listing.m_objects)
    {
        const std::string path = settings_path(object.m_name);
        tree.m_nodes[path] = {object.m_version, read_own(path, object.m_value)};
    }
    return tree;
}

bool is_absent(const stored_tree& tree, std::string_view path)
{
    const auto node = tree.m_nodes.find(path);
    return node == tree.m_nodes.end() ||
           node->second.m_own.m_kind == node_kind::removed;
}

const settings_node& find_node(const stored_tree& tree, std::string_view path)
{
    if (is_absent(tree, path))
        throw ctl_error(ctl_fault::unknown_node, std::string("/").append(path));
    return tree.m_nodes.find(path)->second;
}

edit_outcome apply_edit(operator_session& s, const settings_edit& edit)
{
    const std::vector<daemon_status> fleet = ask_fleet(s);
    stored_tree tree = read_tree(s);
    check_current(fleet, tree);
    const settings_node before = tree.m_nodes[edit.m_path];
    if (edit.m_if_version && *edit.m_if_version != before.m_version)
        throw_conflict(edit.m_path,
                       node_in_history(s, edit.m_path, *edit.m_if_version),
                       before);
    node_settings after;
    if (before.m_own.m_kind != node_kind::removed)
        after = before.m_own;
    edit.m_change(after);
    check_endpoints(fleet, edit, before, after);
    const std::string value = encode_node(after);
    tree.m_nodes[edit.m_path].m_own = decode_node(edit.m_path, value);
    resolve_settings(tree.m_nodes, tree.m_revision);
    edit_outcome outcome;
    outcome.m_version = write_node(s, edit.m_path, before, value);
    keep_history(s, edit.m_path, before, {outcome.m_version, after});
    return await_version(s, outcome.m_version);
}

edit_outcome await_version(operator_session& s, std::uint64_t version)
{
    edit_outcome outcome;
    outcome.m_version = version;
    std::optional<time_point> majority_at;
    const time_point end = monotonic_clock::now() + s.m_settings.m_wait;
    for (;;)
    {
        const std::vector<daemon_status> fleet = ask_fleet(s);
        const std::vector<member_report> reports = to_reports(fleet);
        name_members(outcome, reports);
        const time_point now = monotonic_clock::now();
        acceptance_view view{version, reports, std::nullopt};
        if (!has_majority(view))
            majority_at.reset();
        else if (!majority_at)
            majority_at = now;
        if (majority_at)
            view.m_majority_age = now - *majority_at;
        const acceptance found = evaluate_acceptance(view);
        outcome.m_in_force = found == acceptance::accepted;
        if (found != acceptance::propagating || now >= end)
            return outcome;
        pause(s, status_pause);
    }
}

std::vector<std::string> describe_changes(const node_settings& before,
                                          const node_settings& after)
{
    const auto old_fields = nlohmann::json::parse(encode_node(before));
    const auto new_fields = nlohmann::json::parse(encode_node(after));
    std::vector<std::string> lines;
    for (const auto& [field, value] : old_fields.items())
        if (!new_fields.contains(field))
            lines.push_back(field + ": " + value.dump() + " -> not set");
    for (const auto& [field, value] : new_fields.items())
    {
        const bool had = old_fields.contains(field);
        if (had && old_fields.at(field) == value)
            continue;
        lines.push_back(field + ": " +
                        (had ? old_fields.at(field).dump() : "not set") +
                        " -> " + value.dump());
    }
    return lines;
}

}
