#ifndef BLUEBELLSPOKE_DECIDE_LOAD_HOME_CHOICE_HPP
#define BLUEBELLSPOKE_DECIDE_LOAD_HOME_CHOICE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellspoke
{

/// Below this even share of an endpoint's connections, each workspace's
/// sessions on a group run at one home process of each region. From one
/// connection for each process on, every process can keep one of its own. Zero
/// switches home processes off.
inline constexpr double max_even_share_for_homes = 1.0;
/// Fewest homes of a group in a region: one may end without taking all of the
/// group's workspaces with it.
inline constexpr std::size_t min_homes_per_group = 2;
/// Factor by which a process may exceed its even part of the homes. With 41
/// processes and 8 groups the busiest has 1.46 times the mean of the workspaces
/// (without a limit 3.35), and 12 % (4 %) move when a process leaves.
inline constexpr double home_overcommit = 1.25;

/// A process that may be a home.
struct home_candidate
{
    std::string m_name;
    double m_cores = 0; ///< Cores of its VM; 0: unknown.

    friend bool operator==(const home_candidate&,
                           const home_candidate&) = default;
};

/// The homes of each group in one region, by group.
using home_table =
    std::map<std::string, std::vector<home_candidate>, std::less<>>;

/// Returns true if the sessions of a group run at home processes: an endpoint
/// accepts `connections`, of which `processes` processes would each get less
/// than max_even_share_for_homes.
bool needs_homes(std::uint32_t connections, std::size_t processes,
                 bool has_zone_cells) noexcept;

/// Returns how many processes of a region with `members` processes are homes of
/// a group, so that each is the home of about one of `groups` groups.
std::size_t homes_per_group(std::size_t members, std::size_t groups) noexcept;

/// Chooses the homes of each group among the processes of one region. Every
/// process computes the same from the same lists, in whatever order.
home_table choose_homes(std::span<const home_candidate> members,
                        const std::set<std::string, std::less<>>& groups);

/// Sessions of one workspace on one group that one process accepts.
struct home_subject
{
    std::string_view m_group;
    std::string_view m_workspace; ///< Empty: of a route that is open to all.
    std::string_view m_accepting; ///< Name of the process.
};

/// Returns the process that runs these sessions, among the group's homes except
/// those in `avoided`; empty if there is none. It depends on the accepting
/// process only where there is no workspace.
std::string_view choose_home(std::span<const home_candidate> homes,
                             const home_subject& sessions,
                             const std::set<std::string, std::less<>>& avoided);

}

#endif
