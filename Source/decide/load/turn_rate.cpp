#include <decide/load/turn_rate.hpp>

#include <algorithm>
#include <cmath>

namespace bluebellspoke
{

namespace
{

double total_turns(const turn_rate& r)
{
    double total = 0;
    for (const auto& [priority, turns] : r.m_turns)
        total += turns;
    return total;
}

// Returns the time constant of the decay: short where turns are frequent, so
// that the rate follows a change of the load soon.
double decay_time(const turn_rate& r)
{
    const double turns = total_turns(r);
    const double wanted = turns > 0 ? wanted_turns * r.m_seconds / turns
                                    : to_seconds(max_turn_decay_time);
    return std::clamp(wanted, to_seconds(min_turn_decay_time),
                      to_seconds(max_turn_decay_time));
}

// The turns and the time of a measurement, in one step of the decay.
struct decayed_measurement
{
    double m_factor = 1; ///< Of each count of turns.
    double m_seconds = 0;
};

decayed_measurement decay_until(const turn_rate& r, time_point now)
{
    if (now <= r.m_measured_until)
        return {1, r.m_seconds};
    const double time = decay_time(r);
    const double factor =
        std::exp(-to_seconds(now - r.m_measured_until) / time);
    return {factor, r.m_seconds * factor + time * (1 - factor)};
}

// Adds the time since the last update to the measurement.
void advance(turn_rate& r, time_point now)
{
    const decayed_measurement decayed = decay_until(r, now);
    for (auto& [priority, turns] : r.m_turns)
        turns *= decayed.m_factor;
    r.m_seconds = decayed.m_seconds;
    r.m_measured_until = std::max(r.m_measured_until, now);
}

void reset(turn_rate& r, time_point now)
{
    r.m_turns.clear();
    r.m_seconds = 0;
    r.m_measured_until = now;
    r.m_last_turn_at = now;
}

bool has_stalled(const turn_rate& r, time_point now)
{
    const double turns = total_turns(r);
    const double interval = turns > 0 ? r.m_seconds / turns : 0;
    const double stall =
        std::clamp(stall_intervals * interval, to_seconds(min_stall),
                   to_seconds(max_stall));
    return r.m_has_backlog && to_seconds(now - r.m_last_turn_at) > stall;
}

}

void begin_backlog(turn_rate& r, time_point now)
{
    if (r.m_has_backlog)
        return;
    if (now - r.m_measured_until > turn_rate_ttl)
        reset(r, now);
    r.m_has_backlog = true;
    r.m_measured_until = now;
    r.m_last_turn_at = now;
}

void end_backlog(turn_rate& r, time_point now)
{
    if (!r.m_has_backlog)
        return;
    // The last ones of a stalled backlog may have been refused: the time
    // without turns says nothing about the usual rate.
    if (has_stalled(r, now))
        reset(r, now);
    advance(r, now);
    r.m_has_backlog = false;
}

void record_turn(turn_rate& r, std::uint32_t priority, time_point now)
{
    if (!r.m_has_backlog)
        return;
    if (has_stalled(r, now))
        reset(r, now);
    advance(r, now);
    r.m_turns[priority] += 1;
    r.m_last_turn_at = now;
}

void retract_turn(turn_rate& r, std::uint32_t priority)
{
    const auto found = r.m_turns.find(priority);
    if (found != r.m_turns.end())
        found->second = std::max(0.0, found->second - 1);
}

std::optional<rate_range> available_rate(const turn_rate& r,
                                         std::uint32_t priority, time_point now)
{
    if (has_stalled(r, now) || now - r.m_measured_until > turn_rate_ttl)
        return std::nullopt;
    const auto [factor, seconds] = r.m_has_backlog
                                       ? decay_until(r, now)
                                       : decayed_measurement{1, r.m_seconds};
    const double total = total_turns(r) * factor;
    if (total < min_measured_turns || seconds < to_seconds(min_measured_time))
        return std::nullopt;
    double available = 0;
    for (const auto& [other, turns] : r.m_turns)
        if (other >= priority)
            available += turns * factor;
    const double error = std::sqrt(available);
    return rate_range{std::max(0.0, available - error) / seconds,
                      (available + error) / seconds};
}

}
