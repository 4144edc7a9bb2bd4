#ifndef BLUEBELLSPOKE_DECIDE_GROUP_VIEW_HPP
#define BLUEBELLSPOKE_DECIDE_GROUP_VIEW_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <model/clock.hpp>
#include <model/endpoint_status.hpp>
#include <model/site.hpp>

namespace bluebellspoke
{

/// How long a proof of leadership lasts, from when its first question was
/// sent. A promotion waits as long, so it is the longest part of a failover
/// that this product adds; each halving doubles the questions.
inline constexpr std::chrono::milliseconds lease_time{1500};
/// What the promoter adds for clocks that run at different rates: 1 % of
/// lease_time.
inline constexpr std::chrono::milliseconds lease_margin{15};
/// A lease that ends sooner is renewed: two questions that fail, each after a
/// status_period, and a third.
inline constexpr std::chrono::milliseconds lease_reserve{600};
/// From one question for an endpoint's status to the next.
inline constexpr std::chrono::milliseconds status_period{250};
/// How long a replica must follow on, seen again and again, before its word
/// counts without a lease in force: a replica that a promotion passed over
/// hears of the new term within some 100 ms, or shows that it doesn't.
inline constexpr std::chrono::milliseconds trust_time{1000};
/// Samples of positions nearer to each other than this are kept as one.
inline constexpr std::chrono::milliseconds sample_spacing{20};
/// Samples older than this serve no route; the longest staleness bound of the
/// deployments described is 2.5 s.
inline constexpr std::chrono::seconds sample_age{6};

/// The primary's log was at least this long when it was asked.
struct position_sample
{
    time_point m_asked_at{};
    log_position m_position;
};

/// An endpoint as its last status showed it.
struct endpoint_sight
{
    endpoint_status m_status;
    time_point m_asked_at{};
    time_point m_answered_at{};     ///< It showed this at some time before.
    time_point m_following_since{}; ///< In a row, never lease_time apart.
};

/// What one process knows of a group: who leads it, and until when no other
/// endpoint can have been promoted.
struct group_view
{
    std::uint32_t m_sync_replicas = 0;
    term_number m_term = 0;     ///< The newest seen at any endpoint.
    std::string m_primary;      ///< In m_term; empty: unknown.
    time_point m_lease_until{}; ///< No later term takes effect before.
    std::map<std::string, endpoint_sight, std::less<>> m_sights; ///< By id.
    std::size_t m_members = 0; ///< Endpoints that are listed.
    term_number m_touched = 0; ///< Somebody was paused for this term.
    std::deque<position_sample> m_samples; ///< Of m_primary, oldest first.
};

/// Takes an endpoint's status in that was asked for at `asked_at` and came at
/// `answered_at`. Returns true when the primary changed.
bool note_status(group_view& g, std::string_view id,
                 const endpoint_status& status, time_point asked_at,
                 time_point answered_at);
/// Takes in a commit that the endpoint acknowledged; it was sent at `asked_at`.
void note_commit(group_view& g, std::string_view id, log_position position,
                 time_point asked_at);
/// Takes in the position that came with any answer of an endpoint.
void note_position(group_view& g, std::string_view id, log_position position,
                   time_point asked_at);
/// The endpoint said that it doesn't lead, or its connections broke.
void doubt_primary(group_view& g, std::string_view id);
/// The endpoint is gone, or began anew under its id.
void forget_endpoint(group_view& g, std::string_view id);

/// True when a read that arrived at `arrived_at` and may miss what is younger
/// than `staleness` may run at the primary.
bool may_read_primary(const group_view& g, time_point arrived_at,
                      duration staleness);
/// The newest position known of the primary.
std::optional<log_position> newest_position(const group_view& g);
/// What a replica's log must hold for such a read, or nothing when no sample
/// is young enough.
std::optional<log_position>
staleness_floor(const group_view& g, time_point arrived_at, duration staleness);
/// The floor raised to what the session has written itself.
std::optional<log_position>
session_floor(const group_view& g, const std::optional<log_position>& floor,
              const std::optional<log_position>& own);
/// True when the lease or the samples need another question soon.
bool needs_status(const group_view& g, time_point now);

}

#endif
