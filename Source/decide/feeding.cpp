#include <decide/feeding.hpp>

#include <algorithm>

#include <decide/acknowledgement.hpp>

namespace bluebellspoke
{

namespace
{

bool heard(const voter& v, time_point now)
{
    return v.m_state && heard_within(v, now, suspicion_time);
}

// Endpoints that aren't heard are no evidence: the daemon may be the one that
// is cut off. Only those count as cut that say so.
bool is_starving(std::span<const voter> voters, std::size_t leader,
                 time_point now)
{
    const std::size_t deaf = find_deaf(voters, leader, now).size();
    return voters.size() - deaf < majority(voters.size());
}

// The same evidence reaches every daemon, so all count the same tries.
void begin_term(feeding& f, term_number term)
{
    if (f.m_starving_since)
        f.m_uncured = std::min(f.m_uncured + 1, starvation_doublings);
    f.m_term = term;
    f.m_starving_since.reset();
    f.m_fed_since.reset();
}

}

bool is_deaf(const voter& v, const voter& leader, time_point now) noexcept
{
    if (!heard(v, now) || !leader.m_state || !v.m_state->m_silent)
        return false;
    const bool behind = v.m_state->m_received < leader.m_state->m_received;
    return behind && *v.m_state->m_silent >= deaf_time;
}

std::vector<std::size_t> find_deaf(std::span<const voter> voters,
                                   std::size_t leader, time_point now)
{
    std::vector<std::size_t> deaf;
    for (std::size_t i = 0; i < voters.size(); ++i)
        if (i != leader && is_deaf(voters[i], voters[leader], now))
            deaf.push_back(i);
    return deaf;
}

void note_feeding(feeding& f, std::span<const voter> voters, time_point now)
{
    const std::optional<std::size_t> leader = find_leader(voters);
    if (!leader)
        return;
    const term_number term = voters[*leader].m_state->m_fence;
    if (term != f.m_term)
        begin_term(f, term);
    if (is_starving(voters, *leader, now))
    {
        f.m_fed_since.reset();
        if (!f.m_starving_since)
            f.m_starving_since = now;
        return;
    }
    f.m_starving_since.reset();
    if (!f.m_fed_since)
        f.m_fed_since = now;
    if (now - *f.m_fed_since >= cured_time)
        f.m_uncured = 0;
}

// A first promotion comes at once; one that changed nothing shows that the
// primary isn't what is wrong, so each further one waits twice as long.
duration starvation_limit(const feeding& f) noexcept
{
    return starvation_time * (1U << f.m_uncured);
}

bool is_starved(const feeding& f, std::span<const voter> voters, time_point now)
{
    if (!f.m_starving_since || now - *f.m_starving_since < starvation_limit(f))
        return false;
    const std::optional<std::size_t> leader = find_leader(voters);
    if (!leader || !is_starving(voters, *leader, now))
        return false;
    std::size_t able = 0;
    for (std::size_t i = 0; i < voters.size(); ++i)
        if (i != *leader && voters[i].m_eligible && heard(voters[i], now))
            ++able;
    return able >= majority(voters.size());
}

}
