#ifndef BLUEBELLSPOKE_DECIDE_LOAD_TURN_RATE_HPP
#define BLUEBELLSPOKE_DECIDE_LOAD_TURN_RATE_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// Turns lose weight so that about as many count, within the limits below. With
/// 30 turns the standard error is 18 %.
inline constexpr double wanted_turns = 30;
/// Limits of the time constant with which they lose weight: a few review
/// intervals, and the length of a burst in the described deployments.
inline constexpr std::chrono::milliseconds min_turn_decay_time{500};
inline constexpr std::chrono::milliseconds max_turn_decay_time{3000};
/// Least number of turns and least time that a rate is computed from. A process
/// of the described deployments gives a group some three turns a second, so
/// more turns would mean no rate within a burst; the uncertainty of few turns
/// is in the limits of rate_range.
inline constexpr double min_measured_turns = 5;
inline constexpr std::chrono::milliseconds min_measured_time{250};
/// Without a turn for this many times the mean interval, the group doesn't
/// serve its usual load (failover), and the rate is unknown. By chance such an
/// interval occurs once in 55 turns.
inline constexpr double stall_intervals = 4;
/// Limits of that time: a promotion takes 300 ms or more, and a failover with
/// its detection takes longer than two seconds.
inline constexpr std::chrono::milliseconds min_stall{500};
inline constexpr std::chrono::milliseconds max_stall{2000};
/// Age at which a rate measured in an earlier backlog is no longer used.
inline constexpr std::chrono::seconds turn_rate_ttl{5};
/// How fast a group takes statements of one kind in this process, measured
/// while statements of that kind wait.
struct turn_rate
{
    std::map<std::uint32_t, double> m_turns; ///< Decayed, by priority.
    double m_seconds = 0;                    ///< Decayed time of measurement.
    time_point m_measured_until{};
    bool m_has_backlog = false;
    time_point m_last_turn_at{}; ///< Or the start of the backlog.
};

/// Turns per second, with the standard error of their count on both sides.
struct rate_range
{
    double m_low = 0;
    double m_high = 0;
};

/// Call it when a statement begins to wait and none of its kind did.
void begin_backlog(turn_rate& r, time_point now);
/// Call it when the last waiting statement of the kind has left.
void end_backlog(turn_rate& r, time_point now);
/// Counts a turn, whether its statement has waited or not.
void record_turn(turn_rate& r, std::uint32_t priority, time_point now);
/// Takes back a turn whose statement the endpoint didn't run.
void retract_turn(turn_rate& r, std::uint32_t priority);
/// Returns the rate of the turns that more urgent statements than those of this
/// priority have left; 0: of all turns. Returns nothing without a measurement,
/// or after a stretch without turns.
std::optional<rate_range>
available_rate(const turn_rate& r, std::uint32_t priority, time_point now);

}

#endif
