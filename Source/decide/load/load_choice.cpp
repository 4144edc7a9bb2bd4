#include <decide/load/load_choice.hpp>

#include <algorithm>
#include <cmath>

namespace bluebellspoke
{

namespace
{

double total_ms(const load_cost& c)
{
    return c.m_load_ms + c.m_extra_ms;
}

// The rate at which the candidate can take further statements, relative to the
// others; zero if it isn't drawn.
double weight_of(const loaded_candidate& c, const load_cost& cost,
                 const load_cost& best)
{
    if (!can_run(c) || cost.m_extra_ms > best.m_extra_ms ||
        cost.m_load_ms > near_best_factor * best.m_load_ms)
        return 0;
    return c.m_load.m_slots / cost.m_load_ms;
}

}

bool can_run(const loaded_candidate& c)
{
    return c.m_candidate.m_has_idle_connection || c.m_candidate.m_can_connect;
}

double believed_used(const endpoint_load& load, double mean, time_point now)
{
    return mean + load_trust(load, now) * (load.m_used - mean);
}

double mean_used(std::span<const loaded_candidate> candidates, time_point now)
{
    double used = 0;
    double weights = 0;
    for (const loaded_candidate& c : candidates)
    {
        const double weight = c.m_load.m_slots * load_trust(c.m_load, now);
        used += weight * c.m_load.m_used;
        weights += weight;
    }
    return weights > 0 ? used / weights : 0;
}

load_cost expected_load_cost(const loaded_candidate& c, double mean,
                             time_point now)
{
    const double mean_free = std::max(min_free_part, 1 - mean);
    const double free =
        std::max(min_free_part, 1 - believed_used(c.m_load, mean, now));
    return {expected_latency_ms(c.m_candidate, now) * mean_free / free,
            extra_cost_ms(c.m_candidate)};
}

std::optional<load_choice>
choose_by_load(std::span<const loaded_candidate> candidates, time_point now,
               double draw)
{
    const double mean = mean_used(candidates, now);
    const auto cost_at = [&](std::size_t i)
    {
        return expected_load_cost(candidates[i], mean, now);
    };
    std::optional<std::size_t> best;
    load_cost best_cost;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const load_cost cost = cost_at(i);
        if (!can_run(candidates[i]) ||
            (best && total_ms(cost) >= total_ms(best_cost)))
            continue;
        best = i;
        best_cost = cost;
    }
    if (!best)
        return std::nullopt;
    double weights = 0;
    std::size_t near_best = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const double weight = weight_of(candidates[i], cost_at(i), best_cost);
        weights += weight;
        near_best += weight > 0 ? 1U : 0U;
    }
    if (candidates[*best].m_load.m_slots == 0)
        return load_choice{*best, true, 1};
    double left = draw * weights;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        left -= weight_of(candidates[i], cost_at(i), best_cost);
        if (left < 0)
            return load_choice{i, i == *best, near_best};
    }
    // Rounding may leave a little of the draw.
    return load_choice{*best, true, near_best};
}

double draw_of_attempt(double draw, std::uint32_t attempts) noexcept
{
    // Multiples of the golden ratio are spread evenly over [0, 1).
    constexpr double golden_ratio = 0.6180339887498949;
    double whole = 0;
    return std::modf(draw + attempts * golden_ratio, &whole);
}

}
