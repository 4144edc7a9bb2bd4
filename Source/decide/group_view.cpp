#include <decide/group_view.hpp>

#include <algorithm>
#include <vector>

namespace bluebellspoke
{

namespace
{

constexpr std::size_t most_samples = 512; ///< 6 s at sample_spacing, and some.

void begin_term(group_view& g, term_number term, std::string_view primary)
{
    g.m_term = term;
    g.m_primary = primary;
    g.m_lease_until = {};
    g.m_touched = 0;
    g.m_samples.clear();
}

bool follows_on(const group_view& g, const endpoint_sight& s)
{
    return s.m_status.m_role == endpoint_role::replica &&
           s.m_status.m_term == g.m_term && s.m_status.m_held <= g.m_term;
}

// Every member was seen to go on in the term, none long before `at`. One that
// had been promoted by then would have been paused for lease_time before.
bool all_go_on(const group_view& g, time_point at)
{
    const auto count = std::ranges::count_if(
        g.m_sights,
        [&](const auto& entry)
        {
            const endpoint_sight& s = entry.second;
            return s.m_asked_at > at - lease_time &&
                   (entry.first == g.m_primary || follows_on(g, s));
        });
    return static_cast<std::size_t>(count) >= g.m_members;
}

// A promotion ends the pauses of the replicas that it passes over, before they
// hear of its term. So what a replica shows proves something only if no
// promotion can have taken effect when it answered: a lease is in force still,
// or the others show nothing either, or it has followed on for some time.
// Going by the time of the question is wrong: an answer that is late may show
// the end of the pause. Tests/model/read_lease.pml, ASKED_IN_LEASE.
bool is_trusted(const group_view& g, const endpoint_sight& s)
{
    return s.m_answered_at < g.m_lease_until ||
           s.m_asked_at - s.m_following_since >= trust_time ||
           all_go_on(g, s.m_answered_at);
}

// The primary and m_sync_replicas others that follow its term and are paused
// for none after it, all asked at or after t, prove the lease from t on.
void renew_by_sights(group_view& g)
{
    const auto primary = g.m_sights.find(g.m_primary);
    if (primary == g.m_sights.end())
        return;
    const endpoint_sight& lead = primary->second;
    if (lead.m_status.m_role != endpoint_role::primary ||
        lead.m_status.m_term != g.m_term || lead.m_status.m_held > g.m_term)
        return;
    std::vector<time_point> followers;
    for (const auto& [id, sight] : g.m_sights)
        if (id != g.m_primary && follows_on(g, sight) && is_trusted(g, sight))
            followers.push_back(sight.m_asked_at);
    if (followers.size() < g.m_sync_replicas)
        return;
    std::ranges::sort(followers, std::greater());
    time_point proved = lead.m_asked_at;
    if (g.m_sync_replicas > 0)
        proved = std::min(proved, followers[g.m_sync_replicas - 1]);
    g.m_lease_until = std::max(g.m_lease_until, proved + lease_time);
}

void add_sample(group_view& g, log_position position, time_point asked_at)
{
    if (!g.m_samples.empty())
    {
        position_sample& last = g.m_samples.back();
        if (asked_at <= last.m_asked_at)
            return;
        // The earlier time with the later position stays true.
        if (g.m_samples.size() > 1 &&
            asked_at - g.m_samples[g.m_samples.size() - 2].m_asked_at <
                sample_spacing)
        {
            last.m_position = std::max(last.m_position, position);
            return;
        }
        position = std::max(position, last.m_position);
    }
    g.m_samples.push_back({asked_at, position});
    while (g.m_samples.size() > most_samples ||
           asked_at - g.m_samples.front().m_asked_at > sample_age)
        g.m_samples.pop_front();
}

}

bool note_status(group_view& g, std::string_view id,
                 const endpoint_status& status, time_point asked_at,
                 time_point answered_at)
{
    endpoint_sight& sight = g.m_sights[std::string(id)];
    if (asked_at < sight.m_asked_at)
        return false;
    // No pause of a promotion fits between the two answers.
    const bool followed =
        follows_on(g, sight) && answered_at - sight.m_asked_at < lease_time;
    sight.m_status = status;
    sight.m_asked_at = asked_at;
    sight.m_answered_at = answered_at;
    if (!followed)
        sight.m_following_since = asked_at;
    const bool leads = status.m_role == endpoint_role::primary;
    bool changed = false;
    if (status.m_term > g.m_term)
    {
        begin_term(g, status.m_term, leads ? id : std::string_view());
        changed = true;
    }
    else if (leads && status.m_term == g.m_term && g.m_primary != id)
    {
        begin_term(g, status.m_term, id);
        changed = true;
    }
    else if (!leads && g.m_primary == id)
    {
        doubt_primary(g, id);
        changed = true;
    }
    if (status.m_held > g.m_term)
        g.m_touched = std::max(g.m_touched, status.m_held);
    if (leads && g.m_primary == id)
        add_sample(g, status.m_position, asked_at);
    renew_by_sights(g);
    return changed;
}

void note_commit(group_view& g, std::string_view id, log_position position,
                 time_point asked_at)
{
    if (id != g.m_primary || position.m_term != g.m_term)
        return;
    g.m_lease_until = std::max(g.m_lease_until, asked_at + lease_time);
    add_sample(g, position, asked_at);
}

void note_position(group_view& g, std::string_view id, log_position position,
                   time_point asked_at)
{
    if (id == g.m_primary && position.m_term == g.m_term)
        add_sample(g, position, asked_at);
}

void doubt_primary(group_view& g, std::string_view id)
{
    if (g.m_primary != id)
        return;
    g.m_primary.clear();
    g.m_sights.erase(std::string(id));
}

void forget_endpoint(group_view& g, std::string_view id)
{
    doubt_primary(g, id);
    g.m_sights.erase(std::string(id));
}

bool may_read_primary(const group_view& g, time_point arrived_at,
                      duration staleness)
{
    return !g.m_primary.empty() && g.m_lease_until > arrived_at - staleness;
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
    // A sample of a newer term is of a log that holds every commit
    // acknowledged before; positions that were rolled back are in no log.
    if (own->m_term < g.m_term)
        return std::max(*floor, g.m_samples.front().m_position);
    return std::max(*floor, *own);
}

bool needs_status(const group_view& g, time_point now)
{
    return g.m_primary.empty() || g.m_lease_until < now + lease_reserve;
}

}
