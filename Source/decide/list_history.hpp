#ifndef BLUEBELLSPOKE_DECIDE_LIST_HISTORY_HPP
#define BLUEBELLSPOKE_DECIDE_LIST_HISTORY_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellspoke
{

/// Most removals that a process remembers of a list. A process that is further
/// behind gets the complete list.
inline constexpr std::size_t max_remembered_removals = 256;

/// The names that were removed from a list of stored objects, by the revision
/// up to which the removal had happened. Together with the revisions of the
/// objects themselves it tells what changed since an earlier revision.
///
/// Answers the load of fleets x length of the lists: every change of a list has
/// to reach each process, and the complete list grows with the fleet.
struct list_history
{
    /// Removals after this revision are known.
    std::uint64_t m_known_since = 0;
    std::map<std::string, std::uint64_t, std::less<>> m_removed;
};

/// The list was read as a whole at `revision`: what was removed before is
/// unknown.
void restart_history(list_history& h, std::uint64_t revision);
void record_removal(list_history& h, std::string_view name,
                    std::uint64_t revision);
/// An object of this name was added or changed.
void record_presence(list_history& h, std::string_view name);
/// Returns the names that were removed after `revision`, or nothing if that
/// isn't known.
std::optional<std::vector<std::string>> removed_after(const list_history& h,
                                                      std::uint64_t revision);

}

#endif
