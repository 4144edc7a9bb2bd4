#include <decide/cell_vote.hpp>

#include <algorithm>
#include <functional>
#include <tuple>
#include <vector>

namespace bluebellspoke
{

bool outranks(const cell_rank& a, const cell_rank& b)
{
    return std::tie(b.m_processor, a.m_name) <
           std::tie(a.m_processor, b.m_name);
}

bool grant_vote(cell_vote& v, std::string_view candidate,
                std::uint64_t incarnation, time_point started_at,
                time_point now)
{
    const bool same = v.m_for == candidate && v.m_incarnation == incarnation;
    if (now - started_at < vote_promise || (!same && now < v.m_until))
        return false;
    v = {std::string(candidate), incarnation, now + vote_promise};
    return true;
}

void release_vote(cell_vote& v, std::string_view candidate)
{
    if (v.m_for == candidate)
        v = {};
}

time_point majority_until(const cell_poll& poll,
                          const std::set<std::string, std::less<>>& members)
{
    std::vector<time_point> asked;
    for (const std::string& name : members)
    {
        const auto vote = poll.find(name);
        if (vote != poll.end())
            asked.push_back(vote->second);
    }
    const std::size_t needed = members.size() / 2 + 1;
    if (asked.size() < needed)
        return {};
    std::ranges::sort(asked, std::greater());
    return asked[needed - 1] + vote_time;
}

}
