#include <session/session_task_state.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <vector>

#include <decide/load/load_choice.hpp>
#include <report/event.hpp>

namespace bluebellspoke
{

namespace
{

std::vector<loaded_candidate> candidates_of(std::span<const pool_candidate> all)
{
    std::vector<loaded_candidate> candidates;
    candidates.reserve(all.size());
    for (const pool_candidate& c : all)
        candidates.push_back(c.m_loaded);
    return candidates;
}

std::string one_decimal(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f", value);
    return text.data();
}

// The inputs that decided, of the first few candidates: a group has three.
std::string describe_candidates(std::span<const pool_candidate> found,
                                time_point now)
{
    constexpr std::size_t max_described = 6;
    const std::vector<loaded_candidate> candidates = candidates_of(found);
    const double mean = mean_used(candidates, now);
    std::string text;
    for (std::size_t i = 0; i < std::min(found.size(), max_described); ++i)
    {
        const endpoint_load& load = candidates[i].m_load;
        const load_cost cost = expected_load_cost(candidates[i], mean, now);
        text.append(text.empty() ? "" : "; ");
        text.append(found[i].m_endpoint_pool->m_endpoint.m_id).append(": ");
        text.append(one_decimal(cost.m_load_ms)).append(" + ");
        text.append(one_decimal(cost.m_extra_ms)).append(" ms, ");
        if (!can_run(candidates[i]))
            text.append("no connection, ");
        if (load.m_measured_at == time_point{} || load.m_slots == 0)
        {
            text.append("load unknown");
            continue;
        }
        text.append(one_decimal(load.m_used * load.m_slots)).append(" of ");
        text.append(std::to_string(load.m_slots)).append(" slots ");
        text.append(milliseconds_of(now - load.m_measured_at))
            .append(" ms ago");
    }
    return text;
}

}

std::optional<load_choice>
choose_for(const work& w, std::span<const pool_candidate> found, time_point now)
{
    return choose_by_load(candidates_of(found), now,
                          draw_of_attempt(w.m_draw, w.m_attempts));
}

load_cost expected_cost_of(std::span<const pool_candidate> found,
                           std::size_t index, time_point now)
{
    const std::vector<loaded_candidate> candidates = candidates_of(found);
    return expected_load_cost(candidates[index], mean_used(candidates, now),
                              now);
}

void note_choice(session_task_state& t, const work& w,
                 std::span<const pool_candidate> found,
                 const load_choice& choice, time_point now)
{
    ++(choice.m_is_best ? t.m_counts.m_best_choices
                        : t.m_counts.m_other_choices);
    // Where no other endpoint may run it, statement_sent says all there is.
    if (found.size() < 2 || !is_logged(event_id::endpoint_chosen))
        return;
    log_event(
        event_id::endpoint_chosen,
        {{"request", w.m_id},
         {"endpoint", found[choice.m_index].m_endpoint_pool->m_endpoint.m_id},
         {"is_best", choice.m_is_best ? "true" : "false"},
         {"near_best", std::to_string(choice.m_near_best)},
         {"candidates", describe_candidates(found, now)}});
}

}
