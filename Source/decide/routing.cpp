#include <decide/routing.hpp>

#include <algorithm>
#include <functional>
#include <vector>

#include <decide/acknowledgement.hpp>

namespace bluebellspoke
{

namespace
{

// A read with neither a session position nor a maximum age goes to the primary:
// it is unknown how old the data may be that the caller accepts.
bool replica_fits(const endpoint_state& state,
                  const routing_requirements& requirements, time_point now)
{
    if (!requirements.m_session_position && !requirements.m_max_age)
        return false;
    if (requirements.m_session_position &&
        !has_replayed(state, *requirements.m_session_position))
        return false;
    if (!requirements.m_max_age)
        return true;
    const std::optional<duration> age = age_bound(state, now);
    return age && *age <= *requirements.m_max_age;
}

bool less_loaded(const endpoint_view& a, const endpoint_view& b)
{
    if (a.m_local != b.m_local)
        return a.m_local;
    return std::uint64_t{a.m_running} * b.m_slots <
           std::uint64_t{b.m_running} * a.m_slots;
}

bool has_slot(const endpoint_view& e)
{
    return e.m_running < e.m_slots;
}

std::optional<std::size_t>
best_replica(std::span<const endpoint_view> endpoints,
             const routing_requirements& requirements, time_point now)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < endpoints.size(); ++i)
    {
        const endpoint_view& e = endpoints[i];
        const bool is_replica = e.m_admits && e.m_state &&
                                e.m_state->m_role == endpoint_role::replica;
        if (!is_replica || !replica_fits(*e.m_state, requirements, now))
            continue;
        const bool better = !best ||
                            (has_slot(e) && !has_slot(endpoints[*best])) ||
                            (has_slot(e) == has_slot(endpoints[*best]) &&
                             less_loaded(e, endpoints[*best]));
        if (better)
            best = i;
    }
    return best;
}

// A replaced primary that hasn't learned of its successor reports an age of
// zero, so the age is bounded by the time at which a majority was still in its
// term. A session that has seen a later term must not read there at all.
std::optional<std::size_t>
fitting_primary(std::span<const endpoint_view> endpoints,
                const routing_requirements& requirements, time_point now)
{
    const std::optional<std::size_t> primary = find_primary(endpoints);
    if (!primary || !endpoints[*primary].m_admits)
        return std::nullopt;
    if (requirements.m_session_position &&
        !primary_covers(*endpoints[*primary].m_state,
                        *requirements.m_session_position))
        return std::nullopt;
    if (!requirements.m_max_age)
        return primary;
    const auto led_at = leadership_confirmed_at(endpoints, *primary);
    const bool is_recent = led_at && now - *led_at <= *requirements.m_max_age;
    return is_recent ? primary : std::nullopt;
}

bool may_catch_up(std::span<const endpoint_view> endpoints,
                  const routing_requirements& requirements, time_point now)
{
    if (!requirements.m_replica_wait_until ||
        now >= *requirements.m_replica_wait_until)
        return false;
    return std::any_of(endpoints.begin(), endpoints.end(),
                       [](const endpoint_view& e)
                       {
                           return e.m_admits && e.m_state &&
                                  e.m_state->m_role == endpoint_role::replica;
                       });
}

route run_or_wait(std::span<const endpoint_view> endpoints, std::size_t index)
{
    const bool free = has_slot(endpoints[index]);
    return {free ? route_outcome::run : route_outcome::wait_slot, index};
}

}

bool has_replayed(const endpoint_state& state,
                  const log_position& position) noexcept
{
    return state.m_replayed >= position;
}

std::optional<duration> age_bound(const endpoint_state& state,
                                  time_point now) noexcept
{
    if (!state.m_age)
        return std::nullopt;
    return *state.m_age + (now - state.m_asked_at);
}

std::optional<std::size_t>
find_primary(std::span<const endpoint_view> endpoints) noexcept
{
    std::optional<std::size_t> found;
    term_number highest = 0;
    for (const endpoint_view& e : endpoints)
        if (e.m_state && e.m_state->m_fence > highest)
            highest = e.m_state->m_fence;
    for (std::size_t i = 0; i < endpoints.size(); ++i)
    {
        const auto& state = endpoints[i].m_state;
        if (state && state->m_role == endpoint_role::primary &&
            state->m_fence == highest)
            found = i;
    }
    return found;
}

bool primary_covers(const endpoint_state& state,
                    const log_position& position) noexcept
{
    return state.m_role == endpoint_role::primary &&
           state.m_fence >= position.m_term;
}

std::optional<time_point>
leadership_confirmed_at(std::span<const endpoint_view> endpoints,
                        std::size_t primary)
{
    const term_number term = endpoints[primary].m_state->m_fence;
    std::vector<time_point> times;
    for (const endpoint_view& e : endpoints)
        if (e.m_state && e.m_state->m_fence == term)
            times.push_back(e.m_state->m_asked_at);
    const std::size_t needed = majority(endpoints.size());
    if (times.size() < needed)
        return std::nullopt;
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[needed - 1];
}

route choose_endpoint(std::span<const endpoint_view> endpoints,
                      const routing_requirements& requirements, time_point now)
{
    const std::optional<std::size_t> primary =
        fitting_primary(endpoints, requirements, now);
    const bool replicas_allowed = requirements.m_kind == statement_kind::read &&
                                  !requirements.m_primary_only;
    const std::optional<std::size_t> best =
        replicas_allowed ? best_replica(endpoints, requirements, now)
                         : std::nullopt;
    if (best && has_slot(endpoints[*best]))
        return {route_outcome::run, *best};
    if (!best && replicas_allowed && may_catch_up(endpoints, requirements, now))
        return {route_outcome::wait_state, 0};
    if (primary)
    {
        // If the slots of all suitable replicas are taken, the primary is used
        // as long as it has a free slot.
        const bool prefer_replica = best && !has_slot(endpoints[*primary]);
        return run_or_wait(endpoints, prefer_replica ? *best : *primary);
    }
    if (best)
        return {route_outcome::wait_slot, *best};
    return {route_outcome::none, 0};
}

}
