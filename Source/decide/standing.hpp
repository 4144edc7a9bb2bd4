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

/// How long a daemon may serve without a new proof that its settings are
/// current.
inline constexpr std::chrono::seconds standing_bound{3};

/// A peer's last report about its settings and its access to the platform.
struct peer_report
{
    time_point m_asked_at{};     ///< When the query was sent.
    std::uint64_t m_version = 0; ///< In force at the peer.
    duration m_confirmed_age{};  ///< Since its settings were last confirmed.
    bool m_platform_answers = false; ///< It answers the peer.
};

/// What a daemon knows about whether its settings are current.
struct standing_view
{
    std::uint64_t m_version = 0; ///< In force at this daemon.
    /// When the last query was sent that the platform answered with nothing
    /// newer than m_version.
    time_point m_platform_confirmed_at{};
    bool m_platform_answers = true;
    /// Number of members, including this daemon if it is one.
    std::size_t m_member_count = 1;
    std::span<const peer_report> m_peers;
    bool m_is_member = true; ///< Whether this daemon counts as a member.
};

/// Whether a daemon may serve, and why.
enum class standing : std::uint8_t
{
    confirmed, ///< The platform, or a peer that it answers, confirmed recently.
    witnessed, ///< A majority can't reach the platform and knows nothing newer.
    lapsed,    ///< Newer settings may have been accepted elsewhere.
};

/// Returns the latest time at which this daemon's settings were confirmed.
time_point confirmed_at(const standing_view& view) noexcept;

/// Returns when the daemon's standing ends unless it learns more.
time_point standing_until(const standing_view& view);

/// The same for several lists of members, any of which may be incomplete:
/// witnesses must be a majority of each list.
time_point standing_until(std::span<const standing_view> views);
standing evaluate_standing(std::span<const standing_view> views,
                           time_point now);

std::string_view to_string(standing s) noexcept;

/// Determines whether a daemon may still serve. docs/design/standing.md shows
/// why a daemon that may serve can't have missed an accepted change.
standing evaluate_standing(const standing_view& view, time_point now) noexcept;

}

#endif
