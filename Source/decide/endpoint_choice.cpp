#include <decide/endpoint_choice.hpp>

namespace bluebellspoke
{

double smooth_latency(double average_ms, double latency_ms) noexcept
{
    if (average_ms <= 0)
        return latency_ms;
    return average_ms + latency_smoothing_weight * (latency_ms - average_ms);
}

double expected_latency_ms(const endpoint_candidate& candidate, time_point now)
{
    const bool known = candidate.m_latency_ms > 0 &&
                       now - candidate.m_responded_at < max_average_age;
    const double latency = known ? candidate.m_latency_ms : default_latency_ms;
    return latency * (1 + candidate.m_running / 2.0);
}

double extra_cost_ms(const endpoint_candidate& candidate) noexcept
{
    double cost = 0;
    if (!candidate.m_has_idle_connection)
        cost += connect_cost_ms;
    if (candidate.m_in_other_region)
        cost += other_region_cost_ms;
    if (candidate.m_is_avoidable_primary)
        cost += primary_cost_ms;
    return cost;
}

double expected_cost_ms(const endpoint_candidate& candidate, time_point now)
{
    return expected_latency_ms(candidate, now) + extra_cost_ms(candidate);
}

bool is_unresponsive(time_point responded_at, time_point now) noexcept
{
    return now - responded_at >= unresponsive_after;
}

std::optional<std::size_t>
choose_candidate(std::span<const endpoint_candidate> candidates, time_point now)
{
    std::optional<std::size_t> best;
    double best_ms = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        if (!candidates[i].m_has_idle_connection &&
            !candidates[i].m_can_connect)
            continue;
        const double ms = expected_cost_ms(candidates[i], now);
        if (!best || ms < best_ms)
        {
            best = i;
            best_ms = ms;
        }
    }
    return best;
}

}
