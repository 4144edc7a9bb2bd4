#include <decide/promotion.hpp>

#include <algorithm>

#include <decide/acknowledgement.hpp>
#include <xxhash.h>

namespace bluebellspoke
{

namespace
{

constexpr std::size_t max_turn_rank = 8;

// A replica that still receives data shows that the primary is running even if
// this daemon can't reach it.
bool has_receiving_replica(std::span<const voter> voters, std::size_t leader,
                           time_point now)
{
    for (std::size_t i = 0; i < voters.size(); ++i)
    {
        const voter& v = voters[i];
        const bool receives =
            i != leader && v.m_primary_contact_at &&
            now - *v.m_primary_contact_at <= suspicion_timeout &&
            responded_within(v, now, suspicion_timeout);
        if (receives)
            return true;
    }
    return false;
}

std::size_t count_eligible(std::span<const voter> voters, time_point now)
{
    const auto eligible = std::count_if(
        voters.begin(), voters.end(),
        [&](const voter& v)
        {
            return v.m_eligible && responded_within(v, now, suspicion_timeout);
        });
    return static_cast<std::size_t>(eligible);
}

bool has_responsive_majority(std::span<const voter> voters, time_point now)
{
    const auto heard =
        std::count_if(voters.begin(), voters.end(),
                      [&](const voter& v)
                      {
                          return responded_within(v, now, suspicion_timeout);
                      });
    return static_cast<std::size_t>(heard) >= majority(voters.size());
}

// An endpoint that has not reported its state yet may be the primary.
bool may_have_unreported_leader(std::span<const voter> voters, time_point now)
{
    return std::any_of(
        voters.begin(), voters.end(),
        [&](const voter& v)
        {
            const time_point since = std::max(
                v.m_last_contact_at.value_or(v.m_known_since), v.m_known_since);
            return !v.m_state && now - since <= suspicion_timeout;
        });
}

bool refused_vote(const std::optional<ballot>& b)
{
    return b && !b->m_granted;
}

// The result of counting a subset of the votes: how many were granted, and
// which of these endpoints has the most advanced log.
struct vote_count
{
    std::size_t m_granted = 0;
    std::size_t m_best = 0;
};

template <class Predicate>
vote_count count_votes(const election& e, Predicate is_counted)
{
    vote_count t;
    for (std::size_t i = 0; i < e.m_ballots.size(); ++i)
    {
        const std::optional<ballot>& b = e.m_ballots[i];
        if (!b || !b->m_granted || !is_counted(i))
            continue;
        const bool better =
            t.m_granted == 0 ||
            b->m_state.m_received > e.m_ballots[t.m_best]->m_state.m_received;
        if (better)
            t.m_best = i;
        ++t.m_granted;
    }
    return t;
}

}

bool responded_within(const voter& v, time_point now, duration limit) noexcept
{
    return v.m_last_contact_at && now - *v.m_last_contact_at <= limit;
}

term_number highest_fence(std::span<const voter> voters) noexcept
{
    term_number highest = 0;
    for (const voter& v : voters)
        if (v.m_state)
            highest = std::max(highest, v.m_state->m_fence);
    return highest;
}

std::optional<std::size_t> find_leader(std::span<const voter> voters) noexcept
{
    const term_number highest = highest_fence(voters);
    for (std::size_t i = 0; i < voters.size(); ++i)
    {
        const auto& state = voters[i].m_state;
        if (state && state->m_role == endpoint_role::primary &&
            state->m_fence == highest)
            return i;
    }
    return std::nullopt;
}

leadership evaluate_leadership(std::span<const voter> voters, time_point now)
{
    const std::optional<std::size_t> leader = find_leader(voters);
    if (!has_responsive_majority(voters, now))
        return leader &&
                       responded_within(voters[*leader], now, suspicion_timeout)
                   ? leadership::led
                   : leadership::unknown;
    if (!leader)
        return may_have_unreported_leader(voters, now) ? leadership::unknown
                                                       : leadership::missing;
    const duration limit = has_receiving_replica(voters, *leader, now)
                               ? contested_suspicion_timeout
                               : suspicion_timeout;
    if (!responded_within(voters[*leader], now, limit))
        return leadership::missing;
    const bool replaceable =
        count_eligible(voters, now) >= majority(voters.size());
    if (!voters[*leader].m_eligible && replaceable)
        return leadership::misplaced;
    return leadership::led;
}

bool is_fresh_since(std::span<const voter> voters, time_point since,
                    time_point now)
{
    std::size_t responded = 0;
    bool pending = false;
    for (const voter& v : voters)
    {
        if (v.m_last_contact_at && *v.m_last_contact_at >= since)
            ++responded;
        else if (responded_within(v, now, suspicion_timeout))
            pending = true;
    }
    return responded >= majority(voters.size()) &&
           (!pending || now - since >= preferred_vote_wait);
}

election begin_election(std::span<const voter> voters, term_number last_term,
                        std::string_view candidate, time_point now)
{
    election e;
    e.m_term = std::max(highest_fence(voters), last_term) + 1;
    e.m_candidate = candidate;
    e.m_began_at = now;
    e.m_ballots.resize(voters.size());
    return e;
}

// Any majority of granted votes is safe to choose from: it overlaps every
// majority that holds an acknowledged write, so its most advanced log has that
// write. Eligible endpoints are therefore preferred as soon as they alone form
// a majority.
election_result evaluate_election(const election& e,
                                  std::span<const voter> voters, time_point now)
{
    const std::size_t needed = majority(e.m_ballots.size());
    const vote_count eligible = count_votes(e,
                                            [&](std::size_t i)
                                            {
                                                return voters[i].m_eligible;
                                            });
    if (eligible.m_granted >= needed)
        return {election_outcome::won, eligible.m_best};
    const vote_count all = count_votes(e,
                                       [](std::size_t)
                                       {
                                           return true;
                                       });
    if (all.m_granted >= needed && now - e.m_began_at >= preferred_vote_wait)
        return {election_outcome::won, all.m_best};
    const auto refusals = static_cast<std::size_t>(
        std::count_if(e.m_ballots.begin(), e.m_ballots.end(), refused_vote));
    const bool unwinnable = e.m_ballots.size() - refusals < needed;
    if (unwinnable || now - e.m_began_at >= election_timeout)
        return {election_outcome::lost, 0};
    return {};
}

std::size_t rendezvous_rank(std::string_view group, std::string_view daemon,
                            std::span<const std::string> daemons)
{
    const auto weight = [&](std::string_view name)
    {
        return XXH3_64bits_withSeed(name.data(), name.size(),
                                    XXH3_64bits(group.data(), group.size()));
    };
    const auto own = std::pair(weight(daemon), daemon);
    const auto higher = std::count_if(
        daemons.begin(), daemons.end(),
        [&](const std::string& other)
        {
            return std::pair(weight(other), std::string_view(other)) > own;
        });
    return static_cast<std::size_t>(higher);
}

duration turn_delay(std::size_t rank) noexcept
{
    return first_turn_delay + turn_interval * std::min(rank, max_turn_rank);
}

bool may_promote(bool leaving, std::string_view daemon,
                 std::span<const std::string> daemons)
{
    return !leaving || std::all_of(daemons.begin(), daemons.end(),
                                   [&](const std::string& other)
                                   {
                                       return other == daemon;
                                   });
}

std::vector<std::size_t>
find_stale_followers(std::span<const voter> voters, std::size_t leader,
                     std::span<const term_number> ordered_terms)
{
    std::vector<std::size_t> stale;
    const term_number term = voters[leader].m_state->m_fence;
    for (std::size_t i = 0; i < voters.size(); ++i)
    {
        const auto& state = voters[i].m_state;
        if (i == leader || !state || state->m_fence > term)
            continue;
        if (state->m_fence < term || ordered_terms[i] < term)
            stale.push_back(i);
    }
    return stale;
}

}
