#ifndef BLUEBELLSPOKE_DECIDE_STANDING_HPP
#define BLUEBELLSPOKE_DECIDE_STANDING_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// How long a daemon may go on without knowing that what it holds is current.
inline constexpr std::chrono::seconds standing_bound{3};

/// What one peer last said of the platform and of its own knowledge.
struct peer_witness
{
    time_point m_asked_at{};         ///< When the question was sent to it.
    std::uint64_t m_version = 0;     ///< That it has in force.
    duration m_confirmed_age{};      ///< Since it last knew to be current.
    bool m_platform_answers = false; ///< To the peer itself.
};

/// What one daemon knows of how current it is.
struct standing_view
{
    std::uint64_t m_version = 0; ///< That it has in force.
    /// When the last question was sent to the platform that it answered with
    /// nothing newer than m_version.
    time_point m_platform_confirmed_at{};
    bool m_platform_answers = true;
    std::size_t m_members = 1; ///< Of the fleet, with this one.
    std::span<const peer_witness> m_peers;
    bool m_is_member = true; ///< This daemon itself.
};

enum class standing : std::uint8_t
{
    confirmed, ///< The platform, or a peer it answers, confirmed in time.
    witnessed, ///< A majority finds the platform down and knows nothing newer.
    lapsed,    ///< Newer settings may be accepted elsewhere.
};

/// The time up to which this daemon is known to have been current.
time_point confirmed_at(const standing_view& view) noexcept;

/// The time up to which what the daemon knows now gives it standing.
time_point standing_until(const standing_view& view);

/// The same for several lists of members, one of which may be short: witnessed
/// only by a majority of each.
time_point standing_until(std::span<const standing_view> views);
standing judge_standing(std::span<const standing_view> views, time_point now);

std::string_view to_string(standing s) noexcept;

/// Whether a daemon still has the right to serve. docs/design/standing.md
/// shows why no accepted change can pass it by.
standing judge_standing(const standing_view& view, time_point now) noexcept;

}

#endif
