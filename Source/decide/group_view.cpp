#include <decide/group_view.hpp>

#include <algorithm>

#include <decide/takeover.hpp>

namespace bluebellspoke
{

namespace
{

/// max_sample_age / min_sample_interval is 300; the rest is a reserve.
constexpr std::size_t max_samples = 512;

static_assert(member_settling_time >=
              promotion_order_lifetime + std::chrono::seconds(1));

bool follows_current_term(const group_view& g, const endpoint_observation& s)
{
    return s.m_status.m_role == endpoint_role::replica &&
           s.m_status.m_term == g.m_term &&
           s.m_status.m_paused_term <= g.m_term;
}

// Returns true when the last status of every member shows the current term and
// was requested less than leader_lease_duration before `at`, or later. A member
// promoted by then would have been paused for that long before.
bool all_members_in_term(const group_view& g, time_point at)
{
    const auto count = std::ranges::count_if(
        g.m_observations,
        [&](const auto& entry)
        {
            const endpoint_observation& s = entry.second;
            return s.m_asked_at > at - leader_lease_duration &&
                   (entry.first == g.m_primary || follows_current_term(g, s));
        });
    return static_cast<std::size_t>(count) >= g.m_member_count;
}

// A promotion ends the pauses of the replicas that it doesn't involve before
// they learn of its term. So a replica's status is proof only if no promotion
// can have taken effect when the replica answered: the lease was still in
// force, or all members were observed in the current term, or the replica has
// followed for min_following_time. The time of the request must not be
// used: a late response may show the replica after its pause has ended. See
// ASKED_IN_LEASE in Tests/model/read_lease.pml.
bool is_proof(const group_view& g, const endpoint_observation& s)
{
    return s.m_answered_at < g.m_lease_until ||
           s.m_asked_at - s.m_following_since >= min_following_time ||
           all_members_in_term(g, s.m_answered_at);
}

// The lease starts at time t if the primary and m_sync_replicas settled
// replicas have confirmed the term in response to requests sent at or after t,
// the replicas following it and none of them paused for a later term.
void renew_lease(group_view& g)
{
    const auto primary = g.m_observations.find(g.m_primary);
    if (primary == g.m_observations.end())
        return;
    const endpoint_observation& primary_seen = primary->second;
    if (primary_seen.m_status.m_role != endpoint_role::primary ||
        primary_seen.m_status.m_term != g.m_term ||
        primary_seen.m_status.m_paused_term > g.m_term)
        return;
    std::vector<time_point> followers;
    for (const auto& [id, seen] : g.m_observations)
        if (id != g.m_primary && follows_current_term(g, seen) &&
            is_settled(g, id, seen.m_asked_at) && is_proof(g, seen))
            followers.push_back(seen.m_asked_at);
    if (followers.size() < g.m_sync_replicas)
        return;
    std::ranges::sort(followers, std::greater());
    time_point proven_from = primary_seen.m_asked_at;
    if (g.m_sync_replicas > 0)
        proven_from = std::min(proven_from, followers[g.m_sync_replicas - 1]);
    g.m_lease_until =
        std::max(g.m_lease_until, proven_from + leader_lease_duration);
}

}

void note_new_term(group_view& g, time_point seen_at)
{
    const bool has_just_begun = g.m_lease_until != time_point{} &&
                                seen_at - g.m_lease_until < max_lease_gap;
    g.m_term_grace_until =
        has_just_begun ? seen_at + leader_lease_duration : time_point{};
}

void start_term(group_view& g, term_number term, std::string_view primary)
{
    g.m_term = term;
    g.m_primary = primary;
    g.m_primary_seen_at = {};
    g.m_lease_until = {};
    g.m_paused_term = 0;
    g.m_samples.clear();
}

bool record_status(group_view& g, std::string_view id,
                   const endpoint_status& status, time_point asked_at,
                   time_point answered_at)
{
    endpoint_observation& seen = g.m_observations[std::string(id)];
    if (asked_at < seen.m_asked_at)
        return false;
    // A promotion pauses for longer than the time between these observations.
    const bool kept_following =
        follows_current_term(g, seen) &&
        answered_at - seen.m_asked_at < leader_lease_duration;
    seen.m_status = status;
    seen.m_asked_at = asked_at;
    seen.m_answered_at = answered_at;
    if (!kept_following)
        seen.m_following_since = asked_at;
    const bool leads = status.m_role == endpoint_role::primary;
    bool changed = false;
    if (status.m_term > g.m_term)
    {
        note_new_term(g, asked_at);
        start_term(g, status.m_term, leads ? id : std::string_view());
        changed = true;
    }
    else if (leads && status.m_term == g.m_term && g.m_primary != id)
    {
        start_term(g, status.m_term, id);
        changed = true;
    }
    else if (!leads && g.m_primary == id)
    {
        invalidate_primary(g, id, answered_at);
        changed = true;
    }
    if (status.m_paused_term > g.m_term)
        g.m_paused_term = std::max(g.m_paused_term, status.m_paused_term);
    if (leads && g.m_primary == id)
    {
        g.m_primary_seen_at = std::max(g.m_primary_seen_at, asked_at);
        record_sample(g, status.m_position, asked_at);
    }
    renew_lease(g);
    return changed;
}

void record_commit(group_view& g, std::string_view id, log_position position,
                   time_point asked_at)
{
    record_position(g, id, position, asked_at);
}

void record_sample(group_view& g, log_position position, time_point asked_at)
{
    if (!g.m_samples.empty())
    {
        position_sample& last = g.m_samples.back();
        if (asked_at <= last.m_asked_at)
            return;
        // The later position is an upper bound at the earlier time, too.
        if (g.m_samples.size() > 1 &&
            asked_at - g.m_samples[g.m_samples.size() - 2].m_asked_at <
                min_sample_interval)
        {
            last.m_position = std::max(last.m_position, position);
            return;
        }
        position = std::max(position, last.m_position);
    }
    g.m_samples.push_back({asked_at, position});
    while (g.m_samples.size() > max_samples ||
           asked_at - g.m_samples.front().m_asked_at > max_sample_age)
        g.m_samples.pop_front();
}

void record_position(group_view& g, std::string_view id, log_position position,
                     time_point asked_at)
{
    if (id == g.m_primary && position.m_term == g.m_term)
        record_sample(g, position, asked_at);
}

void invalidate_primary(group_view& g, std::string_view id, time_point now)
{
    if (g.m_primary != id)
        return;
    g.m_primary.clear();
    g.m_invalidated_at = now;
    g.m_observations.erase(std::string(id));
}

void forget_endpoint(group_view& g, std::string_view id, time_point now)
{
    invalidate_primary(g, id, now);
    g.m_observations.erase(std::string(id));
}

void record_listed(group_view& g, std::string_view id, time_point now)
{
    g.m_settles_at.insert_or_assign(std::string(id),
                                    now + member_settling_time);
}

void record_unlisted(group_view& g, std::string_view id)
{
    g.m_settles_at.insert_or_assign(std::string(id), time_point::max());
}

bool is_settled(const group_view& g, std::string_view id, time_point at)
{
    const auto found = g.m_settles_at.find(id);
    return found == g.m_settles_at.end() || at >= found->second;
}

bool may_read_primary(const group_view& g, time_point arrived_at,
                      duration staleness)
{
    return !g.m_primary.empty() && g.m_lease_until > arrived_at - staleness;
}

// The lease of a new term is proved up to min_following_time after the primary
// was found. Without the time after the first status, each failover would keep
// commits waiting for as long.
time_point commits_allowed_until(const group_view& g)
{
    return std::max(g.m_lease_until, g.m_term_grace_until);
}

bool is_commit_proved(const group_view& g,
                      const std::optional<log_position>& position,
                      time_point now)
{
    return position && position->m_term == g.m_term &&
           now < commits_allowed_until(g);
}

std::optional<log_position> newest_position(const group_view& g)
{
    if (g.m_samples.empty())
        return std::nullopt;
    return g.m_samples.back().m_position;
}

std::optional<log_position>
staleness_floor(const group_view& g, time_point arrived_at, duration staleness)
{
    for (const position_sample& s : g.m_samples)
        if (s.m_asked_at >= arrived_at - staleness &&
            s.m_asked_at < g.m_lease_until)
            return s.m_position;
    return std::nullopt;
}

std::optional<log_position>
session_floor(const group_view& g, const std::optional<log_position>& floor,
              const std::optional<log_position>& own)
{
    if (!own || !floor)
        return floor;
    // The log that the samples of a newer term describe holds every commit
    // acknowledged in an earlier term. Positions that were rolled back are in
    // no log, so `own` itself isn't required.
    if (own->m_term < g.m_term)
        return std::max(*floor, g.m_samples.front().m_position);
    return std::max(*floor, *own);
}

time_point replicated_until(const group_view& g)
{
    if (g.m_primary.empty())
        return {};
    std::vector<log_position> received;
    for (const auto& [id, seen] : g.m_observations)
        if (id != g.m_primary &&
            seen.m_status.m_role == endpoint_role::replica &&
            seen.m_status.m_term == g.m_term)
            received.push_back(seen.m_status.m_position);
    if (received.size() < g.m_sync_replicas)
        return {};
    std::ranges::sort(received, std::greater());
    const auto sample = std::ranges::find_if(
        g.m_samples.rbegin(), g.m_samples.rend(),
        [&](const position_sample& s)
        {
            return g.m_sync_replicas == 0 ||
                   s.m_position <= received[g.m_sync_replicas - 1];
        });
    return sample == g.m_samples.rend() ? time_point{} : sample->m_asked_at;
}

std::vector<std::string> paused_replicas(const group_view& g)
{
    std::vector<std::string> paused;
    for (const auto& [id, seen] : g.m_observations)
        if (seen.m_status.m_role == endpoint_role::replica &&
            seen.m_status.m_paused_term != 0)
            paused.push_back(id);
    return paused;
}

bool needs_status(const group_view& g, time_point now, duration margin)
{
    return g.m_primary.empty() || g.m_lease_until < now + margin;
}

}
