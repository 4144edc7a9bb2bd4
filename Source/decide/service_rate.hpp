#ifndef BLUEBELLSPOKE_DECIDE_SERVICE_RATE_HPP
#define BLUEBELLSPOKE_DECIDE_SERVICE_RATE_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// A window of measurement is closed after this time, or when nothing waits.
inline constexpr std::chrono::milliseconds rate_window{1000};
/// What is shorter than this, or holds fewer turns, says nothing.
inline constexpr std::chrono::milliseconds least_rate_window{250};
inline constexpr std::uint32_t least_turns = 20;
/// After a longer time without a turn the queue was held up, not served.
inline constexpr std::chrono::milliseconds held_up_bound{500};
/// How long a measured window is good for.
inline constexpr std::chrono::seconds rate_memory{5};

struct measured_rate
{
    double m_rate = 0; ///< Turns a second.
    time_point m_measured_at{};
};

/// How fast a queue is served while something waits in it. Idle time and time
/// in which nothing is served don't count.
struct service_rate
{
    std::array<measured_rate, 4> m_measured; ///< Overwritten in turn.
    std::size_t m_next = 0;
    std::optional<time_point> m_since; ///< Open window; absent: none waits.
    time_point m_last_turn{};
    std::uint32_t m_turns = 0; ///< In the open window.
};

/// Something waits now in a queue that was empty.
void begin_waiting(service_rate& r, time_point now);
/// An item's turn has come.
void note_turn(service_rate& r, time_point now);
/// Nothing waits any more.
void end_waiting(service_rate& r);
/// Turns a second: the highest of what was measured lately, or nothing when
/// nothing was.
std::optional<double> rate_now(const service_rate& r, time_point now);

}

#endif
