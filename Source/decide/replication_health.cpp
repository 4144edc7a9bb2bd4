#include <decide/replication_health.hpp>

#include <algorithm>

#include <decide/acknowledgement.hpp>

namespace bluebellspoke
{

namespace
{

bool responded_recently(const voter& v, time_point now)
{
    return v.m_state && responded_within(v, now, suspicion_timeout);
}

// Only endpoints that report it count as cut off. Unreachable endpoints are no
// evidence, because this daemon may be the one that is partitioned.
bool lacks_connected_majority(std::span<const voter> voters, std::size_t leader,
                              time_point now)
{
    const std::size_t cut_off = find_cut_off(voters, leader, now).size();
    return voters.size() - cut_off < majority(voters.size());
}

// Every daemon sees the same terms and states, so all daemons count the same
// number of ineffective promotions.
void start_term(replication_health& f, term_number term)
{
    if (f.m_stalled_since)
        f.m_ineffective_promotions =
            std::min(f.m_ineffective_promotions + 1, max_stall_doublings);
    f.m_term = term;
    f.m_stalled_since.reset();
    f.m_healthy_since.reset();
}

}

bool is_cut_off(const voter& v, const voter& leader, time_point now) noexcept
{
    if (!responded_recently(v, now) || !leader.m_state ||
        !v.m_state->m_primary_silence)
        return false;
    const bool behind = v.m_state->m_received < leader.m_state->m_received;
    return behind && *v.m_state->m_primary_silence >= replica_receive_timeout;
}

std::vector<std::size_t> find_cut_off(std::span<const voter> voters,
                                      std::size_t leader, time_point now)
{
    std::vector<std::size_t> cut_off;
    for (std::size_t i = 0; i < voters.size(); ++i)
        if (i != leader && is_cut_off(voters[i], voters[leader], now))
            cut_off.push_back(i);
    return cut_off;
}

void update_replication_health(replication_health& f,
                               std::span<const voter> voters, time_point now)
{
    const std::optional<std::size_t> leader = find_leader(voters);
    if (!leader)
        return;
    const term_number term = voters[*leader].m_state->m_fence;
    if (term != f.m_term)
        start_term(f, term);
    if (lacks_connected_majority(voters, *leader, now))
    {
        f.m_healthy_since.reset();
        if (!f.m_stalled_since)
            f.m_stalled_since = now;
        return;
    }
    f.m_stalled_since.reset();
    if (!f.m_healthy_since)
        f.m_healthy_since = now;
    if (now - *f.m_healthy_since >= stall_recovery_time)
        f.m_ineffective_promotions = 0;
}

// The first promotion needs no extra delay. A promotion that did not end the
// stall shows that the primary isn't the cause, so each further one waits twice
// as long.
duration stall_timeout(const replication_health& f) noexcept
{
    return replication_stall_timeout * (1U << f.m_ineffective_promotions);
}

bool is_replication_stalled(const replication_health& f,
                            std::span<const voter> voters, time_point now)
{
    if (!f.m_stalled_since || now - *f.m_stalled_since < stall_timeout(f))
        return false;
    const std::optional<std::size_t> leader = find_leader(voters);
    if (!leader || !lacks_connected_majority(voters, *leader, now))
        return false;
    std::size_t eligible = 0;
    for (std::size_t i = 0; i < voters.size(); ++i)
        if (i != *leader && voters[i].m_eligible &&
            responded_recently(voters[i], now))
            ++eligible;
    return eligible >= majority(voters.size());
}

}
