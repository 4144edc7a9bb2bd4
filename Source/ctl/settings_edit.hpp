#ifndef BLUEBELLSPOKE_CTL_SETTINGS_EDIT_HPP
#define BLUEBELLSPOKE_CTL_SETTINGS_EDIT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <ctl/operator_session.hpp>
#include <decide/settings_tree.hpp>
#include <sigc++/sigc++.h>

namespace bluebellspoke
{

/// The settings tree as it stands in the platform, removed nodes too.
struct stored_tree
{
    settings_tree m_nodes;
    std::uint64_t m_revision = 0;
};

/// A change of one node.
struct settings_edit
{
    std::string m_path;
    /// Version the node must have; absent: whichever it has.
    std::optional<std::uint64_t> m_if_version;
    /// Changes the node's own values, which are empty for a new one.
    sigc::slot<void(node_settings&)> m_change;
};

/// What became of an edit that is in the platform.
struct edit_outcome
{
    std::uint64_t m_version = 0;
    bool m_in_force = false;            ///< For good, everywhere.
    std::vector<std::string> m_waiting; ///< Daemons that don't have it yet.
    std::vector<std::string> m_refused; ///< Daemons that could not take it.
};

/// Throws ctl_error, settings_error.
stored_tree read_tree(operator_session& s);
/// The node, or throws ctl_error.
const settings_node& find_node(const stored_tree& tree, std::string_view path);
/// True for a path that names no node, or a removed one.
bool is_absent(const stored_tree& tree, std::string_view path);

/// Checks the edited tree as a whole, writes the node, settles lost answers by
/// reading back, keeps the history and waits until the edit is in force.
/// Throws ctl_error, settings_error.
edit_outcome apply_edit(operator_session& s, const settings_edit& edit);

/// Waits until a version is in force for good, or for the session's limit.
edit_outcome await_version(operator_session& s, std::uint64_t version);

/// Lines that say what differs between two values of a node.
std::vector<std::string> describe_changes(const node_settings& before,
                                          const node_settings& after);

}

#endif
