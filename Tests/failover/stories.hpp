#ifndef BLUEBELLSPOKE_FAILOVER_STORIES_HPP
#define BLUEBELLSPOKE_FAILOVER_STORIES_HPP

#include <optional>
#include <string>

#include <support/fleet.hpp>

namespace bluebellspoke::support
{

/// The target: a change of primary is over within this time.
inline constexpr std::chrono::seconds failover_target{7};

nlohmann::json insert_bear(const std::string& box, const std::string& id);
nlohmann::json find_bear(const std::string& box);

/// A fleet with a workspace "ward", a clerk's key and the first daemon ready.
struct ward
{
    explicit ward(const fleet_options& options);

    fleet m_fleet;
    session m_clerk;
};

/// The group's primary as a daemon sees it; absent while there is none.
std::optional<std::size_t> primary_seen_by(const daemon_node& d);
/// The pool's state of one endpoint, by its place.
nlohmann::json endpoint_seen_by(const daemon_node& d, std::size_t index);
/// Waits within the target until the daemon sees another primary.
bool primary_moves_from(const daemon_node& d, std::size_t old_primary);

/// Writes until one write is acknowledged; how long that took.
std::chrono::milliseconds write_gap(caller& c, session& s,
                                    const std::string& box);

}

#endif
