#include <decide/load/home_choice.hpp>

#include <algorithm>
#include <cmath>

#include <decide/connection_budget.hpp>
#include <xxhash.h>

namespace bluebellspoke
{

namespace
{

// Mean of the known counts of cores, for processes whose count is unknown.
double mean_cores(std::span<const home_candidate> members) noexcept
{
    double sum = 0;
    std::size_t known = 0;
    for (const home_candidate& m : members)
        if (m.m_cores > 0)
        {
            sum += m.m_cores;
            ++known;
        }
    return known == 0 ? 1 : sum / static_cast<double>(known);
}

double weight_of(const home_candidate& m, double mean) noexcept
{
    return m.m_cores > 0 ? m.m_cores : mean;
}

// Weighted rendezvous hashing: the highest score wins, and each member wins in
// proportion to its weight. XXH64 gives the same value in every build.
double score(std::string_view subject, std::string_view member, double weight)
{
    std::string key(subject);
    key.append(1, '\0').append(member);
    constexpr int mantissa_bits = 53;
    const auto bits = static_cast<double>(XXH64(key.data(), key.size(), 0) >>
                                          (64 - mantissa_bits));
    const double uniform = std::ldexp(bits + 0.5, -mantissa_bits);
    return -weight / std::log(uniform);
}

struct ranked_member
{
    double m_score = 0;
    std::size_t m_index = 0;
};

// Most groups that a process may be the home of, by its part of the cores.
std::vector<std::size_t> home_limits(std::span<const home_candidate> members,
                                     std::size_t homes)
{
    const double mean = mean_cores(members);
    double sum = 0;
    for (const home_candidate& m : members)
        sum += weight_of(m, mean);
    std::vector<std::size_t> limits;
    limits.reserve(members.size());
    for (const home_candidate& m : members)
        limits.push_back(static_cast<std::size_t>(
            std::round(static_cast<double>(homes) * weight_of(m, mean) / sum *
                       home_overcommit)));
    return limits;
}

std::vector<ranked_member> rank_members(std::span<const home_candidate> members,
                                        std::string_view group)
{
    const double mean = mean_cores(members);
    std::vector<ranked_member> ranks;
    ranks.reserve(members.size());
    for (std::size_t i = 0; i < members.size(); ++i)
        ranks.push_back(
            {score(group, members[i].m_name, weight_of(members[i], mean)), i});
    std::ranges::sort(ranks,
                      [&](const ranked_member& a, const ranked_member& b)
                      {
                          return a.m_score != b.m_score
                                     ? a.m_score > b.m_score
                                     : members[a.m_index].m_name <
                                           members[b.m_index].m_name;
                      });
    return ranks;
}

}

bool needs_homes(std::uint32_t connections, std::size_t processes,
                 bool has_zone_cells) noexcept
{
    if (!has_zone_cells || connections == 0 || processes == 0)
        return false;
    const std::uint32_t usable = connections > reserved_connections
                                     ? connections - reserved_connections
                                     : connections;
    return static_cast<double>(usable) / static_cast<double>(processes) <
           max_even_share_for_homes;
}

std::size_t homes_per_group(std::size_t members, std::size_t groups) noexcept
{
    const std::size_t even =
        groups == 0 ? members : (members + groups / 2) / groups;
    return std::min(members, std::max(min_homes_per_group, even));
}

home_table choose_homes(std::span<const home_candidate> members,
                        const std::set<std::string, std::less<>>& groups)
{
    const std::size_t homes = homes_per_group(members.size(), groups.size());
    std::vector<std::size_t> left = home_limits(members, homes * groups.size());
    home_table table;
    for (const std::string& group : groups)
    {
        std::vector<home_candidate>& chosen = table[group];
        const std::vector<ranked_member> ranks = rank_members(members, group);
        for (const ranked_member& r : ranks)
            if (chosen.size() < homes && left[r.m_index] > 0)
            {
                --left[r.m_index];
                chosen.push_back(members[r.m_index]);
            }
        // The last groups may find too few members with a place left.
        for (const ranked_member& r : ranks)
            if (chosen.size() < homes &&
                std::ranges::find(chosen, members[r.m_index]) == chosen.end())
                chosen.push_back(members[r.m_index]);
    }
    return table;
}

// Load: each process of a large fleet has a few sessions without a workspace,
// such as those of probes. One home for all of them would hold as many
// connections as the region has such sessions.
std::string_view choose_home(std::span<const home_candidate> homes,
                             const home_subject& sessions,
                             const std::set<std::string, std::less<>>& avoided)
{
    std::string subject(sessions.m_group);
    subject.append(1, '\0').append(sessions.m_workspace);
    if (sessions.m_workspace.empty())
        subject.append(1, '\0').append(sessions.m_accepting);
    const double mean = mean_cores(homes);
    std::string_view best;
    double best_score = -1;
    for (const home_candidate& h : homes)
    {
        if (avoided.contains(h.m_name))
            continue;
        const double s = score(subject, h.m_name, weight_of(h, mean));
        if (s > best_score || (s == best_score && h.m_name < best))
        {
            best = h.m_name;
            best_score = s;
        }
    }
    return best;
}

}
