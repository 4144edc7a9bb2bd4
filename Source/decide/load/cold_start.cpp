#include <decide/load/cold_start.hpp>

#include <algorithm>
#include <cmath>
#include <string>
#include <tuple>

#include <xxhash.h>

namespace bluebellspoke
{

namespace
{

double start_credit(const rate_excess& e) noexcept
{
    return start_credit_ratio *
           (e.m_rate * to_seconds(e.m_window) * e.m_overage + e.m_operations);
}

// The sessions of a workspace on one group run at one process of each region,
// so each group in each region is one place that may get a part.
struct credit_place
{
    std::uint64_t m_hash = 0;
    std::string_view m_region;
    std::string_view m_group;
};

credit_place make_place(std::string_view workspace, std::string_view region,
                        std::string_view group)
{
    std::string key(workspace);
    key.append(1, '\0').append(region).append(1, '\0').append(group);
    return {XXH64(key.data(), key.size(), 0), region, group};
}

bool goes_before(const credit_place& a, const credit_place& b)
{
    return std::tie(a.m_hash, a.m_region, a.m_group) <
           std::tie(b.m_hash, b.m_region, b.m_group);
}

}

std::uint32_t own_credit_total(const rate_excess& e) noexcept
{
    constexpr double most = 1e6; // Well within the range of the result.
    return static_cast<std::uint32_t>(
        std::clamp(std::floor(own_credit_ratio * start_credit(e)), 0.0, most));
}

double leader_credit(const rate_excess& e, std::size_t cells) noexcept
{
    return (start_credit(e) - own_credit_total(e)) /
           static_cast<double>(std::max<std::size_t>(1, cells));
}

std::uint32_t own_credit(std::uint32_t total, std::string_view workspace,
                         const credit_holders& holders)
{
    const home_table& homes = *holders.m_homes;
    const auto places =
        static_cast<std::uint32_t>(homes.size() * holders.m_regions.size());
    if (total == 0 || places == 0)
        return 0;
    std::uint32_t own = 0;
    for (const auto& [group, of_group] : homes)
    {
        if (choose_home(of_group, {group, workspace, holders.m_self}, {}) !=
            holders.m_self)
            continue;
        const credit_place place =
            make_place(workspace, holders.m_region, group);
        std::uint32_t before = 0;
        for (const std::string_view region : holders.m_regions)
            for (const auto& [other, of_other] : homes)
                if (goes_before(make_place(workspace, region, other), place))
                    ++before;
        own += total / places + (before < total % places ? 1 : 0);
    }
    return own;
}

bool may_use_own_credit(const cold_start& c, time_point now) noexcept
{
    return !c.m_is_over && now - c.m_started_at < cold_start_limit;
}

time_point wait_for_leader_until(const cold_start& c, time_point send_deadline,
                                 time_point useful_until) noexcept
{
    // A process grants no vote earlier.
    const time_point first_election = c.m_started_at + vote_hold_time;
    if (c.m_is_over || useful_until <= first_election)
        return send_deadline;
    return std::max(
        send_deadline,
        std::min(useful_until, first_election + election_allowance));
}

duration token_retry_after(const cold_start& c, time_point now) noexcept
{
    return may_use_own_credit(c, now) ? cold_token_retry_delay
                                      : token_retry_delay;
}

}
