#include <decide/demand_share.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace bluebellspoke
{

namespace
{

double weight_of(const demand_weights& weights, std::string_view workspace)
{
    const auto found = weights.find(workspace);
    return found == weights.end() ? 0 : found->second;
}

bool differs(double announced, double wanted)
{
    return std::abs(wanted - announced) >
           std::max(announced * told_part, told_least);
}

// A peer that was never heard from may have been running since before this
// process started, so its silence counts from that start.
bool is_silent(const demand_table& t, const demand_peer& p, time_point now,
               duration after)
{
    const bool heard = p.m_heard_at != time_point{};
    return now - (heard ? p.m_heard_at : t.m_started_at) >= after;
}

bool is_isolated(const demand_table& t, time_point now)
{
    // A peer that was never heard from counts as heard until isolated_after has
    // passed since the start.
    const bool just_started = now - t.m_started_at < alone_after;
    std::size_t heard = 0;
    for (const std::string& name : t.m_members)
    {
        const auto p = t.m_peers.find(name);
        const bool known = p != t.m_peers.end();
        if (name == t.m_self || (!known && just_started) ||
            (known && !is_silent(t, p->second, now, alone_after)))
            ++heard;
    }
    return 2 * heard <= t.m_members.size();
}

// A member that was never heard from may raise its weight on the
// acknowledgement of members that don't know this process yet, so its
// acknowledgement is required until silent_after has passed.
bool acked_by_all(const demand_table& t, std::uint64_t number, time_point now)
{
    return std::ranges::all_of(
        t.m_members,
        [&](const std::string& name)
        {
            if (name == t.m_self || t.m_ended.contains(name))
                return true;
            const auto p = t.m_peers.find(name);
            if (p == t.m_peers.end())
                return now - t.m_started_at >= silent_after;
            return p->second.m_acked >= number ||
                   is_silent(t, p->second, now, silent_after);
        });
}

double own_weight(const demand_table& t, std::string_view workspace)
{
    if (t.m_tellings.empty())
        return untold_weight;
    double lowest = std::numeric_limits<double>::max();
    for (const demand_telling& announced : t.m_tellings)
        lowest =
            std::min(lowest, announced.m_number == 0
                                 ? untold_weight
                                 : weight_of(announced.m_weights, workspace));
    return lowest;
}

// A member that hasn't announced weights uses no more than default_weight.
void add_weights_of(demand_division& d, const demand_table& t,
                    const std::string& member, time_point now)
{
    const auto p = t.m_peers.find(member);
    if (p == t.m_peers.end() || p->second.m_number == 0)
        d.m_untold += untold_weight;
    else if (!is_silent(t, p->second, now, silent_after))
        for (const auto& [workspace, weight] : p->second.m_weights)
            d.m_told[workspace] += weight;
}

}

bool tell_weights(demand_table& t, const demand_weights& weights)
{
    demand_telling next;
    if (!t.m_tellings.empty())
        next = t.m_tellings.back();
    bool news = t.m_tellings.empty();
    for (const auto& [workspace, weight] : weights)
        if (differs(weight_of(next.m_weights, workspace), weight))
        {
            next.m_weights.insert_or_assign(workspace, weight);
            news = true;
        }
    if (!news)
        return false;
    if (t.m_tellings.empty())
        t.m_tellings.push_back({0, {}}); // Version 0, which all peers assume.
    next.m_number = t.m_tellings.back().m_number + 1;
    t.m_tellings.push_back(std::move(next));
    return true;
}

void take_news(demand_table& t, std::string_view peer, const demand_news& news,
               time_point now)
{
    const auto ended = t.m_ended.find(peer);
    if (ended != t.m_ended.end())
        t.m_ended.erase(ended);
    demand_peer& p = t.m_peers[std::string(peer)];
    if (p.m_incarnation != news.m_incarnation)
        p = {};
    p.m_incarnation = news.m_incarnation;
    p.m_heard_at = now;
    p.m_acked = std::max(p.m_acked, news.m_acked);
    if (news.m_number < p.m_number)
        return;
    p.m_number = news.m_number;
    p.m_weights = news.m_weights;
}

void forget_peer(demand_table& t, std::string_view peer)
{
    const auto found = t.m_peers.find(peer);
    if (found != t.m_peers.end())
        t.m_peers.erase(found);
    t.m_ended.emplace(peer);
}

void settle_tellings(demand_table& t, time_point now)
{
    while (t.m_tellings.size() > 1 &&
           acked_by_all(t, t.m_tellings[1].m_number, now))
        t.m_tellings.pop_front();
}

demand_division divide(const demand_table& t, time_point now)
{
    demand_division d;
    if (t.m_members.empty())
        return d;
    d.m_even = even_part / static_cast<double>(t.m_members.size());
    d.m_alone = is_isolated(t, now);
    if (d.m_alone)
        return d;
    for (const std::string& name : t.m_members)
        if (name != t.m_self)
            add_weights_of(d, t, name, now);
    return d;
}

double part_of(const demand_table& t, const demand_division& d,
               std::string_view workspace)
{
    if (d.m_alone)
        return d.m_even;
    const double own = own_weight(t, workspace);
    if (own <= 0)
        return d.m_even;
    const double all = own + d.m_untold + weight_of(d.m_told, workspace);
    return d.m_even + (1 - even_part) * own / all;
}

}
