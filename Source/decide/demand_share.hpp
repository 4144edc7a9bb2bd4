#ifndef BLUEBELLSPOKE_DECIDE_DEMAND_SHARE_HPP
#define BLUEBELLSPOKE_DECIDE_DEMAND_SHARE_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// Fraction of a limit that is divided evenly and may always be used. The rest
/// is divided by demand.
inline constexpr double even_fraction = 0.25;
/// A process that hasn't heard from a majority for this long uses no more than
/// its even share. The time covers the period of one exchange per second, a
/// round trip and a late timer.
inline constexpr std::chrono::milliseconds isolated_after{1600};
/// How long a silent process's weights still count for the others:
/// isolated_after, one second by which the last messages of both sides may have
/// missed each other, and a margin.
inline constexpr std::chrono::milliseconds silent_after{2800};
/// A member that nobody has heard from for this long is removed from the list.
/// The time is well above silent_after and longer than a machine takes to
/// reboot.
inline constexpr std::chrono::seconds member_removal_timeout{8};
/// A weight is announced again once it differs from the announced one by more
/// than this ratio and by more than this amount.
inline constexpr double min_announced_change_ratio = 0.25;
inline constexpr double min_announced_change = 1.0;

/// Weight of a process that hasn't announced any, in operations per second, so
/// that processes that start together divide evenly. It is small compared with
/// the demand of a workspace that is near its limit.
inline constexpr double default_weight = 0.5;

/// Weights by workspace; 0 for a workspace that is missing.
using demand_weights = std::map<std::string, double, std::less<>>;

/// A peer's weights as last received.
struct demand_peer
{
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_version = 0; ///< Of m_weights.
    demand_weights m_weights;
    std::uint64_t m_acked_version = 0; ///< Newest of ours that it has.
    time_point m_heard_at{};           ///< Zero: never.
};

/// Weights that this process has announced to its peers.
struct demand_announcement
{
    std::uint64_t m_version = 0; ///< 0: default_weight for every workspace.
    demand_weights m_weights;
};

/// One process's view of how limits are divided by demand.
///
/// A higher weight takes effect once every peer has acknowledged it, a lower
/// one at once. Each process divides by its own weight and the last known
/// weights of the others. So the sum of all shares never exceeds the limit, in
/// whatever order messages arrive.
struct demand_table
{
    std::string m_self;
    std::set<std::string, std::less<>> m_members; ///< Includes m_self.
    std::map<std::string, demand_peer, std::less<>> m_peers; ///< By name.
    std::set<std::string, std::less<>> m_ended_peers; ///< Without a process.
    /// In order of their versions; all peers have the first one.
    std::deque<demand_announcement> m_announcements;
    time_point m_started_at{};
};

/// Message from a peer: its weights, and which version of ours it has.
struct demand_update
{
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_version = 0;
    demand_weights m_weights;
    std::uint64_t m_acked_version = 0;
};

/// Announces new weights if they differ enough from those last announced.
/// Returns true when there is a new announcement to send.
bool announce_weights(demand_table& t, const demand_weights& weights);
void apply_demand_update(demand_table& t, std::string_view peer,
                         const demand_update& update, time_point now);
/// Records that the peer's process has ended. It uses nothing any more, and its
/// successor starts without announced weights.
void mark_peer_ended(demand_table& t, std::string_view peer);
/// Drops announcements that a newer one replaces because all peers have that.
void drop_acked_announcements(demand_table& t, time_point now);

/// Sums over all members, computed once for the shares of all workspaces.
struct demand_division
{
    double m_even_share = 0;      ///< Fraction that may always be used.
    bool m_isolated = true;       ///< Nothing beyond m_even_share may be used.
    double m_default_weights = 0; ///< Of members that announced none.
    demand_weights m_announced_weights; ///< Of all other members.
};

/// Computes the sums in one pass over all peers' weights.
demand_division divide_by_demand(const demand_table& t, time_point now);
/// Returns this process's fraction of the workspace's limit, from 0 to 1.
double share_fraction(const demand_table& t, const demand_division& d,
                      std::string_view workspace);

}

#endif
