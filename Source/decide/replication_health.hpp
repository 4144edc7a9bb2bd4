#ifndef BLUEBELLSPOKE_DECIDE_REPLICATION_HEALTH_HPP
#define BLUEBELLSPOKE_DECIDE_REPLICATION_HEALTH_HPP

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include <decide/promotion.hpp>

namespace bluebellspoke
{

/// A replica that lacks entries and has received nothing for this long is
/// considered cut off from its primary.
inline constexpr std::chrono::milliseconds replica_receive_timeout{1000};
/// A primary that could not confirm writes for this long, because its replicas
/// are cut off from it, is replaced.
inline constexpr std::chrono::milliseconds replication_stall_timeout{1000};
/// How many times replication_stall_timeout doubles at most while promotions
/// don't end the stall.
inline constexpr unsigned max_stall_doublings = 6;
/// A stall counts as ended once replication has worked for this long; the
/// timeout then returns to its initial value.
inline constexpr std::chrono::seconds stall_recovery_time{60};
/// Interval between the follow orders that one daemon sends to a replica that
/// is cut off.
inline constexpr std::chrono::seconds refollow_interval{5};

/// Tracks whether the replicas of a group receive the writes of its primary.
struct replication_health
{
    term_number m_term = 0; ///< Of the last observed leader.
    /// Since when too many replicas are cut off for a majority to confirm.
    std::optional<time_point> m_stalled_since;
    std::optional<time_point> m_healthy_since;
    unsigned m_ineffective_promotions =
        0; ///< In a row that didn't end the stall.
};

/// Returns true when the endpoint lacks entries of the leader and reports that
/// it has received nothing for replica_receive_timeout. A replica that is only
/// slow still receives data and isn't cut off.
bool is_cut_off(const voter& v, const voter& leader, time_point now) noexcept;

/// Returns the indexes of the endpoints that are cut off from the leader. They
/// include endpoints that never got the order to follow it, because the daemon
/// that promoted the leader died.
std::vector<std::size_t> find_cut_off(std::span<const voter> voters,
                                      std::size_t leader, time_point now);

/// Updates the state from the last reported endpoint states.
void update_replication_health(replication_health& f,
                               std::span<const voter> voters, time_point now);

/// Returns true when replication has been stalled for stall_timeout() and
/// enough other endpoints are reachable and eligible to replace the leader.
bool is_replication_stalled(const replication_health& f,
                            std::span<const voter> voters, time_point now);

/// Returns how long replication may be stalled before the leader is replaced.
duration stall_timeout(const replication_health& f) noexcept;

}

#endif
