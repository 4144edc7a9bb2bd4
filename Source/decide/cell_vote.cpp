#include <decide/cell_vote.hpp>

#include <algorithm>
#include <functional>
#include <tuple>
#include <vector>

namespace bluebellspoke
{

bool outranks(const cell_rank& a, const cell_rank& b)
{
    return std::tie(b.m_cores, a.m_name) < std::tie(a.m_cores, b.m_name);
}

bool grant_vote(cell_vote& v, std::string_view candidate,
                std::uint64_t incarnation, time_point started_at,
                time_point now, vote_hold hold)
{
    const bool renews =
        v.m_candidate == candidate && v.m_incarnation == incarnation;
    const bool is_held =
        hold == vote_hold::applies && now - started_at < vote_hold_time;
    if (is_held || (!renews && now < v.m_until))
        return false;
    v = {std::string(candidate), incarnation, now + vote_hold_time};
    return true;
}

void release_vote(cell_vote& v, std::string_view candidate)
{
    if (v.m_candidate == candidate)
        v = {};
}

time_point majority_expiry(const vote_request_times& votes,
                           const std::set<std::string, std::less<>>& members)
{
    std::vector<time_point> requested;
    for (const std::string& name : members)
    {
        const auto vote = votes.find(name);
        if (vote != votes.end())
            requested.push_back(vote->second);
    }
    const std::size_t needed = members.size() / 2 + 1;
    if (requested.size() < needed)
        return {};
    std::ranges::sort(requested, std::greater());
    return requested[needed - 1] + vote_validity;
}

}
