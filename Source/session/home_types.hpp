#ifndef BLUEBELLSPOKE_SESSION_HOME_TYPES_HPP
#define BLUEBELLSPOKE_SESSION_HOME_TYPES_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <decide/load/home_choice.hpp>
#include <session/session_messages.hpp>
#include <session/session_types.hpp>

namespace bluebellspoke
{

/// A home that doesn't accept a session within this time is avoided: 20 round
/// trips between zones, and a small part of the 2 s that the platform allows
/// for a session's first answer.
inline constexpr std::chrono::milliseconds home_accept_timeout{100};
/// How long a home is avoided after it failed; doubles with each further
/// failure up to the maximum. A restarted process needs about a second.
inline constexpr std::chrono::milliseconds min_home_avoidance{1000};
inline constexpr std::chrono::milliseconds max_home_avoidance{16'000};
/// How long after a statement's deadline its home's answer is still awaited:
/// the home counts the deadline from when it received the statement, and both
/// check deadlines each session_tick_interval.
inline constexpr std::chrono::milliseconds home_answer_margin{60};
/// A session without statements for this long leaves its home, to free the
/// connection; several pauses of a typical session, which are 4 s on average.
inline constexpr std::chrono::seconds home_idle_timeout{60};
/// A relayed session at rest for this long is released by its home: the process
/// that passed it on has ended without a word. Longer than home_idle_timeout,
/// after which that process would have closed it.
inline constexpr std::chrono::seconds relayed_rest_timeout{90};
/// Most sessions that a process passes on, in all and to one home, and most
/// that it accepts from others. The described deployments have about 55
/// sessions for each process and at least 3,010 descriptors.
inline constexpr std::size_t max_passed_on_sessions = 1000;
inline constexpr std::size_t max_passed_on_sessions_per_home = 300;
inline constexpr std::size_t max_relayed_sessions = 1000;
/// Most bytes that may wait to be sent to homes, in all and to one home; two
/// and eight statements of the largest size.
inline constexpr std::size_t max_waiting_home_bytes = 8U << 20U;
inline constexpr std::size_t max_waiting_bytes_per_home = 2U << 20U;

/// Until when no session is passed on to a home that failed.
struct home_avoidance
{
    time_point m_until{};
    duration m_interval{};
};

/// What the session task knows of home processes, and what it passes on.
struct home_directory
{
    std::vector<session_member> m_members;
    time_point m_members_received_at{};
    home_table m_table; ///< Of the own region.
    /// Homes of each group in all regions together.
    std::size_t m_homes_per_group = 0;
    std::set<std::string, std::less<>> m_own_groups; ///< It is a home of them.
    std::set<std::string, std::less<>> m_regions;    ///< Those with processes.
    std::map<std::string, home_avoidance, std::less<>> m_avoided; ///< By name.
    intrusive_list<home_link> m_links;
    intrusive_list<work> m_statements; ///< Work that is passed on.
    std::uint64_t m_passed_on_statements = 0;
    std::uint64_t m_moves = 0;
    std::uint64_t m_losses = 0;
};

}

#endif
