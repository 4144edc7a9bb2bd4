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

/// Length after which a measuring window is closed. It is closed earlier when
/// the queue becomes empty or stalls.
inline constexpr std::chrono::milliseconds rate_window{1000};
/// Windows that are shorter or have fewer dequeues than min_window_dequeues are
/// discarded, since their rate would be too inaccurate.
inline constexpr std::chrono::milliseconds min_rate_window{250};
inline constexpr std::uint32_t min_window_dequeues = 20;
/// A longer interval between two dequeues is a stall and not part of any
/// window.
inline constexpr std::chrono::milliseconds stall_threshold{500};
/// Time for which the rate of a window is used.
inline constexpr std::chrono::seconds rate_sample_ttl{5};

/// The rate of one measuring window.
struct rate_sample
{
    double m_rate = 0; ///< Dequeues per second.
    time_point m_measured_at{};
};

/// Measures how fast a queue is served while it has a backlog. Idle times and
/// stalls are left out.
struct service_rate
{
    std::array<rate_sample, 4> m_samples; ///< Ring buffer.
    std::size_t m_next_sample = 0;
    std::optional<time_point> m_window_start; ///< Of the open window, if any.
    time_point m_last_dequeue{};
    std::uint32_t m_dequeues = 0; ///< In the open window.
};

/// Call it when an item is added to an empty queue.
void begin_backlogged_period(service_rate& r, time_point now);
/// Call it when an item is dequeued to be served, before
/// end_backlogged_period().
void record_dequeue(service_rate& r, time_point now);
/// Call it when the queue becomes empty.
void end_backlogged_period(service_rate& r);
/// Returns the highest rate of the recent windows, in dequeues per second, or
/// nothing if there is none.
std::optional<double> current_rate(const service_rate& r, time_point now);

}

#endif
