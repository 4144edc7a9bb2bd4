#ifndef BLUEBELLSPOKE_DECIDE_ENDPOINT_CHOICE_HPP
#define BLUEBELLSPOKE_DECIDE_ENDPOINT_CHOICE_HPP

#include <cstdint>
#include <optional>
#include <span>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// What a new connection adds to the time of its first statement, in
/// milliseconds: the endpoint's own work for it and two round trips, one of
/// them its greeting.
inline constexpr double dial_cost_ms = 30;
/// What a read that any endpoint could run costs at the primary, in
/// milliseconds: what only the primary can run waits behind it.
inline constexpr double primary_cost_ms = 15;
/// What a read in another region costs beyond its time, in milliseconds: what
/// goes between regions is scarce and dear, so a near endpoint is used until
/// it takes several times its usual time.
inline constexpr double far_cost_ms = 80;
/// An average without a new answer for this long says nothing any more.
inline constexpr std::chrono::seconds average_age{3};
/// The weight of one answer in the average.
inline constexpr double answer_weight = 0.2;
/// What an endpoint is taken to need before it has answered, in milliseconds.
inline constexpr double unknown_answer_ms = 40;

/// An endpoint that may run a statement, as one process sees it.
struct endpoint_offer
{
    double m_answer_ms = 0; ///< Smoothed; 0: it has answered nothing yet.
    time_point m_answered_at{};
    std::uint32_t m_running = 0;   ///< Statements of this process there.
    bool m_has_idle = false;       ///< A connection is at hand.
    bool m_has_room = false;       ///< One may be dialed.
    bool m_is_far = false;         ///< In another region.
    bool m_spares_primary = false; ///< It leads, and others could run it.
};

/// An endpoint that answered something less long ago is slow, not silent: to
/// avoid it would push its load to others that are as busy. About two answers
/// of an endpoint whose slots are all taken.
inline constexpr std::chrono::milliseconds silence_bound{250};
/// True when an endpoint that left a question unanswered is to be avoided;
/// `answered_at` is when it last answered anything.
bool is_silent(time_point answered_at, time_point now) noexcept;

/// Takes one answer's time into the average.
double smooth_answer(double average_ms, double answer_ms) noexcept;

/// The time that a statement is expected to take there, in milliseconds.
double expected_ms(const endpoint_offer& o, time_point now);

/// The offer that is expected to answer first, or nothing if none has room.
std::optional<std::size_t> choose_offer(std::span<const endpoint_offer> offers,
                                        time_point now);

}

#endif
