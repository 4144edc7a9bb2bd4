#include <decide/endpoint_choice.hpp>

namespace bluebellspoke
{

double smooth_answer(double average_ms, double answer_ms) noexcept
{
    if (average_ms <= 0)
        return answer_ms;
    return average_ms + answer_weight * (answer_ms - average_ms);
}

double expected_ms(const endpoint_offer& o, time_point now)
{
    const bool known = o.m_answer_ms > 0 && now - o.m_answered_at < average_age;
    double cost = known ? o.m_answer_ms : unknown_answer_ms;
    cost *= 1 + o.m_running / 2.0;
    if (!o.m_has_idle)
        cost += dial_cost_ms;
    if (o.m_is_far)
        cost += far_cost_ms;
    if (o.m_spares_primary)
        cost += primary_cost_ms;
    return cost;
}

bool is_silent(time_point answered_at, time_point now) noexcept
{
    return now - answered_at >= silence_bound;
}

std::optional<std::size_t> choose_offer(std::span<const endpoint_offer> offers,
                                        time_point now)
{
    std::optional<std::size_t> best;
    double best_ms = 0;
    for (std::size_t i = 0; i < offers.size(); ++i)
    {
        if (!offers[i].m_has_idle && !offers[i].m_has_room)
            continue;
        const double ms = expected_ms(offers[i], now);
        if (!best || ms < best_ms)
        {
            best = i;
            best_ms = ms;
        }
    }
    return best;
}

}
