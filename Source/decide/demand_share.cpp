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
           std::max(announced * min_announced_change_ratio,
                    min_announced_change);
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
    const bool just_started = now - t.m_started_at < isolated_after;
    std::size_t heard = 0;
    for (const std::string& name : t.m_members)
    {
        const auto p = t.m_peers.find(name);
        const bool known = p != t.m_peers.end();
        if (name == t.m_self || (!known && just_started) ||
            (known && !is_silent(t, p->second, now, isolated_after)))
            ++heard;
    }
    return 2 * heard <= t.m_members.size();
}

// A member that was never heard from may raise its weight on the
// acknowledgement of members that don't know this process yet, so its
// acknowledgement is required until silent_after has passed.
bool acked_by_all(const demand_table& t, std::uint64_t version, time_point now)
{
    return std::ranges::all_of(
        t.m_members,
        [&](const std::string& name)
        {
            if (name == t.m_self || t.m_ended_peers.contains(name))
                return true;
            const auto p = t.m_peers.find(name);
            if (p == t.m_peers.end())
                return now - t.m_started_at >= silent_after;
            return p->second.m_acked_version >= version ||
                   is_silent(t, p->second, now, silent_after);
        });
}

double own_weight(const demand_table& t, std::string_view workspace)
{
    if (t.m_announcements.empty())
        return default_weight;
    double lowest = std::numeric_limits<double>::max();
    for (const demand_announcement& announced : t.m_announcements)
        lowest =
            std::min(lowest, announced.m_version == 0
                                 ? default_weight
                                 : weight_of(announced.m_weights, workspace));
    return lowest;
}

// A member that hasn't announced weights uses no more than default_weight.
void add_weights_of(demand_division& d, const demand_table& t,
                    const std::string& member, time_point now)
{
    const auto p = t.m_peers.find(member);
    if (p == t.m_peers.end() || p->second.m_version == 0)
        d.m_default_weights += default_weight;
    else if (!is_silent(t, p->second, now, silent_after))
        for (const auto& [workspace, weight] : p->second.m_weights)
            d.m_announced_weights[workspace] += weight;
}

}

bool announce_weights(demand_table& t, const demand_weights& weights)
{
    demand_announcement next;
    if (!t.m_announcements.empty())
        next = t.m_announcements.back();
    bool changed = t.m_announcements.empty();
    for (const auto& [workspace, weight] : weights)
        if (differs(weight_of(next.m_weights, workspace), weight))
        {
            next.m_weights.insert_or_assign(workspace, weight);
            changed = true;
        }
    if (!changed)
        return false;
    if (t.m_announcements.empty())
        t.m_announcements.push_back(
            {0, {}}); // Version 0, which all peers assume.
    next.m_version = t.m_announcements.back().m_version + 1;
    t.m_announcements.push_back(std::move(next));
    return true;
}

void apply_demand_update(demand_table& t, std::string_view peer,
                         const demand_update& update, time_point now)
{
    const auto ended = t.m_ended_peers.find(peer);
    if (ended != t.m_ended_peers.end())
        t.m_ended_peers.erase(ended);
    demand_peer& p = t.m_peers[std::string(peer)];
    if (p.m_incarnation != update.m_incarnation)
        p = {};
    p.m_incarnation = update.m_incarnation;
    p.m_heard_at = now;
    p.m_acked_version = std::max(p.m_acked_version, update.m_acked_version);
    if (update.m_version < p.m_version)
        return;
    p.m_version = update.m_version;
    p.m_weights = update.m_weights;
}

void mark_peer_ended(demand_table& t, std::string_view peer)
{
    const auto found = t.m_peers.find(peer);
    if (found != t.m_peers.end())
        t.m_peers.erase(found);
    t.m_ended_peers.emplace(peer);
}

void drop_acked_announcements(demand_table& t, time_point now)
{
    while (t.m_announcements.size() > 1 &&
           acked_by_all(t, t.m_announcements[1].m_version, now))
        t.m_announcements.pop_front();
}

demand_division divide_by_demand(const demand_table& t, time_point now)
{
    demand_division d;
    if (t.m_members.empty())
        return d;
    d.m_even_share = even_fraction / static_cast<double>(t.m_members.size());
    d.m_isolated = is_isolated(t, now);
    if (d.m_isolated)
        return d;
    for (const std::string& name : t.m_members)
        if (name != t.m_self)
            add_weights_of(d, t, name, now);
    return d;
}

double share_fraction(const demand_table& t, const demand_division& d,
                      std::string_view workspace)
{
    if (d.m_isolated)
        return d.m_even_share;
    const double own = own_weight(t, workspace);
    if (own <= 0)
        return d.m_even_share;
    const double all =
        own + d.m_default_weights + weight_of(d.m_announced_weights, workspace);
    return d.m_even_share + (1 - even_fraction) * own / all;
}

}
