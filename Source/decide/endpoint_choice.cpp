#include <decide/endpoint_choice.hpp>

namespace bluebellspoke
{

double smooth_answer(double average_ms, double latency_ms) noexcept
{
    if (average_ms <= 0)
        return latency_ms;
    return average_ms + answer_weight * (latency_ms - average_ms);
}

double expected_ms(const endpoint_offer& candidate, time_point now)
{
    const bool known = candidate.m_answer_ms > 0 &&
                       now - candidate.m_answered_at < average_age;
    double cost = known ? candidate.m_answer_ms : unknown_answer_ms;
    cost *= 1 + candidate.m_running / 2.0;
    if (!candidate.m_has_idle)
        cost += dial_cost_ms;
    if (candidate.m_is_far)
        cost += far_cost_ms;
    if (candidate.m_spares_primary)
        cost += primary_cost_ms;
    return cost;
}

bool is_silent(time_point responded_at, time_point now) noexcept
{
    return now - responded_at >= silence_bound;
}

std::optional<std::size_t>
choose_offer(std::span<const endpoint_offer> candidates, time_point now)
{
    std::optional<std::size_t> best;
    double best_ms = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        if (!candidates[i].m_has_idle && !candidates[i].m_has_room)
            continue;
        const double ms = expected_ms(candidates[i], now);
        if (!best || ms < best_ms)
        {
            best = i;
            best_ms = ms;
        }
    }
    return best;
}

}
