#ifndef BLUEBELLSPOKE_DECIDE_FEEDING_HPP
#define BLUEBELLSPOKE_DECIDE_FEEDING_HPP

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include <decide/promotion.hpp>

namespace bluebellspoke
{

/// A replica that received nothing for this long is cut from its primary.
inline constexpr std::chrono::milliseconds deaf_time{1000};
/// A primary that can't confirm for this long, as its replicas are cut from it,
/// is replaced.
inline constexpr std::chrono::milliseconds starvation_time{1000};
/// How often starvation_time doubles when promotions don't cure it.
inline constexpr unsigned starvation_doublings = 6;
/// A group that was fed for this long is cured.
inline constexpr std::chrono::seconds cured_time{60};
/// Between two orders to follow that a cut replica gets from one daemon.
inline constexpr std::chrono::seconds refollow_period{5};

/// Whether a group's replicas receive what its primary writes.
struct feeding
{
    term_number m_term = 0; ///< Of the leader that was seen last.
    /// Since when no majority holds or receives what the leader has.
    std::optional<time_point> m_starving_since;
    std::optional<time_point> m_fed_since;
    unsigned m_uncured = 0; ///< Starved leaders that were replaced in vain.
};

/// True when the endpoint lacks entries of the leader and says that it has
/// received nothing for deaf_time. A slow replica goes on receiving.
bool is_deaf(const voter& v, const voter& leader, time_point now) noexcept;

/// The endpoints that are cut from the leader. One that nobody told whom to
/// follow, as the daemon that promoted died, looks the same.
std::vector<std::size_t> find_deaf(std::span<const voter> voters,
                                   std::size_t leader, time_point now);

/// Takes in what the endpoints say now.
void note_feeding(feeding& f, std::span<const voter> voters, time_point now);

/// True when the leader has to be replaced, and the others can do it.
bool is_starved(const feeding& f, std::span<const voter> voters,
                time_point now);

/// How long a leader may starve before it is replaced.
duration starvation_limit(const feeding& f) noexcept;

}

#endif
