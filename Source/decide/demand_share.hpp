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

/// The part of a limit that is divided evenly and always usable; the rest
/// follows demand.
inline constexpr double even_part = 0.25;
/// A process that hears from no majority for this long keeps to its even part:
/// one exchange a second, a round trip and a late timer fit in.
inline constexpr std::chrono::milliseconds alone_after{1600};
/// How long the others leave a silent process what it had: until it keeps to
/// its even part, the second by which their last words may have missed each
/// other, and a margin.
inline constexpr std::chrono::milliseconds silent_after{2800};
/// A member that nobody has heard for this long is taken out of the list: far
/// past silent_after, and longer than a machine takes to start again.
inline constexpr std::chrono::seconds member_lapse{8};
/// A weight that moved by less than this part, or this much, isn't told.
inline constexpr double told_part = 0.25;
inline constexpr double told_least = 1.0;

/// The weight of a process that has told none, in operations a second: so all
/// that start together divide evenly. It is small beside the demand of a
/// workspace that comes near its limit.
inline constexpr double untold_weight = 0.5;

/// Weights by workspace; what isn't there is 0.
using demand_weights = std::map<std::string, double, std::less<>>;

/// A peer's weights as this process has taken them in.
struct demand_peer
{
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_number = 0; ///< Of the weights.
    demand_weights m_weights;
    std::uint64_t m_acked = 0; ///< The newest of ours that it has taken in.
    time_point m_heard_at{};   ///< Zero: never.
};

/// Weights that this process has told its peers.
struct demand_telling
{
    std::uint64_t m_number = 0; ///< 0: untold_weight for everything.
    demand_weights m_weights;
};

/// One process's view of how limits are divided by demand.
///
/// A weight is raised only once every peer has taken the higher one in, and
/// lowered at once; each process divides by its own weight and what it knows
/// of the others'. So all parts together never pass the limit, whatever the
/// order in which messages arrive.
struct demand_table
{
    std::string m_self;
    std::set<std::string, std::less<>> m_members; ///< m_self included.
    std::map<std::string, demand_peer, std::less<>> m_peers; ///< By name.
    std::set<std::string, std::less<>> m_ended; ///< Run no process now.
    std::deque<demand_telling> m_tellings; ///< Oldest: taken in by everybody.
    time_point m_started_at{};
};

/// What a peer says with its weights.
struct demand_news
{
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_number = 0;
    demand_weights m_weights;
    std::uint64_t m_acked = 0;
};

/// Tells new weights when they differ enough from those last told. Returns
/// true when there is something new to send.
bool tell_weights(demand_table& t, const demand_weights& weights);
void take_news(demand_table& t, std::string_view peer, const demand_news& news,
               time_point now);
/// The peer's process has ended: it uses nothing, and another one will begin
/// with nothing.
void forget_peer(demand_table& t, std::string_view peer);
/// Forgets tellings that no longer bind.
void settle_tellings(demand_table& t, time_point now);

/// What the parts of all workspaces go by, added up once.
struct demand_division
{
    double m_even = 0;     ///< Part that is always usable.
    bool m_alone = true;   ///< Nothing beyond m_even may be used.
    double m_untold = 0;   ///< Weight of those that have told none, in each.
    demand_weights m_told; ///< Of all others together.
};

/// Takes a pass over all peers' weights.
demand_division divide(const demand_table& t, time_point now);
/// This process's part of the workspace's limit, from 0 to 1.
double part_of(const demand_table& t, const demand_division& d,
               std::string_view workspace);

}

#endif
