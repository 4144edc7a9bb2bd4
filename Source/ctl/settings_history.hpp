#ifndef BLUEBELLSPOKE_CTL_SETTINGS_HISTORY_HPP
#define BLUEBELLSPOKE_CTL_SETTINGS_HISTORY_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <ctl/operator_session.hpp>
#include <decide/settings_tree.hpp>

namespace bluebellspoke
{

/// One value that a node had.
struct history_entry
{
    settings_node m_node;
    std::string m_at; ///< When it was written, UTC.
};

/// The last values of a node, newest first; as many as are kept.
std::vector<history_entry> read_history(operator_session& s,
                                        const std::string& path);
/// The node as of a version; without own values when that isn't kept.
settings_node node_in_history(operator_session& s, const std::string& path,
                              std::uint64_t version);
/// Adds a value. The history is for people: losing an entry to a race or an
/// outage is no failure of the edit.
void keep_history(operator_session& s, const std::string& path,
                  const settings_node& before, const settings_node& after);

}

#endif
