#ifndef BLUEBELLSPOKE_FLEET_TWO_CELLS_HPP
#define BLUEBELLSPOKE_FLEET_TWO_CELLS_HPP

#include <cstddef>
#include <memory>
#include <vector>

#include <support/site.hpp>

namespace bluebellspoke::fleet
{

inline constexpr support::site_size two_cells{
    .m_daemons = 26, .m_zones = 2, .m_workspaces = 4, .m_rate = 20};

bool leads(const support::site& s, std::size_t daemon);
/// Returns the processes that lead the cell of a zone.
std::vector<std::size_t> leaders_of(const support::site& s, std::size_t zone);
/// Returns true if each zone has one leader.
bool has_leaders(const support::site& s);

using sessions = std::vector<std::unique_ptr<support::line_caller>>;

/// Starts a session of one workspace at each process, once it is ready.
sessions start_sessions(const support::site& s, std::size_t workspace);
/// Reads the answer to one statement. Returns true if it was served.
bool read_answer(support::line_caller& c);

}

#endif
