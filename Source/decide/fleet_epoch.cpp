#include <decide/fleet_epoch.hpp>

#include <algorithm>

namespace bluebellspoke
{

namespace
{

const member_observation*
find_observation(std::span<const member_observation> observations,
                 std::string_view name) noexcept
{
    const auto found = std::find_if(observations.begin(), observations.end(),
                                    [&](const member_observation& s)
                                    {
                                        return s.m_member.m_name == name;
                                    });
    return found == observations.end() ? nullptr : &*found;
}

bool has_timed_out(const member_observation& s, time_point now)
{
    const duration timeout = s.m_listed ? duration(listed_silence_bound)
                                        : duration(unlisted_silence_bound);
    return now - s.m_last_contact_at > timeout;
}

bool is_responsive(const member_observation& s, time_point now)
{
    return s.m_member.m_incarnation != 0 && !has_timed_out(s, now);
}

// Only one process at a time can bind the address, so an answer from there with
// another incarnation proves that the former process has ended.
bool replaces(const fleet_member& successor, const fleet_member& former)
{
    return successor.m_name == former.m_name &&
           successor.m_address == former.m_address &&
           successor.m_incarnation != 0 &&
           successor.m_incarnation != former.m_incarnation;
}

bool knows_epoch(const fleet_member& former, const member_observation& s,
                 std::uint64_t epoch)
{
    return (s.m_member == former && s.m_known_epoch >= epoch) ||
           replaces(s.m_member, former);
}

bool has_applied(const fleet_member& former, const member_observation& s,
                 std::uint64_t epoch)
{
    return (s.m_member == former && s.m_applied_epoch >= epoch) ||
           replaces(s.m_member, former);
}

template <class Condition>
std::size_t count_former(const fleet_epoch& epoch,
                         std::span<const member_observation> observations,
                         Condition condition)
{
    std::size_t count = 0;
    for (const fleet_member& former : epoch.m_former)
    {
        const member_observation* s =
            find_observation(observations, former.m_name);
        if (s != nullptr && condition(former, *s, epoch.m_number))
            ++count;
    }
    return count;
}

// A daemon that reaches fewer than half of the members may itself be
// partitioned from the fleet.
bool reaches_half(const fleet_epoch& epoch,
                  std::span<const member_observation> observations,
                  time_point now)
{
    std::size_t responsive = 0;
    for (const fleet_member& m : epoch.m_members)
    {
        const member_observation* s = find_observation(observations, m.m_name);
        if (s != nullptr && is_responsive(*s, now))
            ++responsive;
    }
    return 2 * responsive >= epoch.m_members.size();
}

}

std::optional<std::vector<fleet_member>>
propose_members(const fleet_epoch& epoch,
                std::span<const member_observation> observations,
                time_point now)
{
    const bool may_remove = reaches_half(epoch, observations, now);
    std::vector<fleet_member> next;
    for (const fleet_member& m : epoch.m_members)
    {
        const member_observation* s = find_observation(observations, m.m_name);
        if (s != nullptr && is_responsive(*s, now))
            next.push_back(s->m_member);
        else if (s == nullptr || !may_remove || !has_timed_out(*s, now))
            next.push_back(m);
    }
    for (const member_observation& s : observations)
        if (s.m_listed && is_responsive(s, now) &&
            find_member(epoch.m_members, s.m_member.m_name) == nullptr)
            next.push_back(s.m_member);
    std::sort(next.begin(), next.end(),
              [](const fleet_member& a, const fleet_member& b)
              {
                  return a.m_name < b.m_name;
              });
    if (next.empty() || next == epoch.m_members)
        return std::nullopt;
    return next;
}

// A member that doesn't know the epoch keeps its older share only while it has
// standing. Once half of the former members know the epoch, the others are too
// few to be a majority of witnesses, so their standing ends within
// max_settle_time.
void update_settling(epoch_settling& s, const fleet_epoch& epoch,
                     std::span<const member_observation> observations,
                     time_point now)
{
    if (s.m_epoch != epoch.m_number)
        s = {epoch.m_number, std::nullopt, false};
    if (s.m_settled || epoch.m_number == 0)
        return;
    const std::size_t former = epoch.m_former.size();
    if (count_former(epoch, observations, has_applied) == former)
    {
        s.m_settled = true;
        return;
    }
    if (!s.m_half_informed_at &&
        2 * count_former(epoch, observations, knows_epoch) >= former)
        s.m_half_informed_at = now;
    s.m_settled =
        s.m_half_informed_at && now - *s.m_half_informed_at > max_settle_time;
}

const fleet_member* find_member(std::span<const fleet_member> members,
                                std::string_view name) noexcept
{
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&](const fleet_member& m)
                                    {
                                        return m.m_name == name;
                                    });
    return found == members.end() ? nullptr : &*found;
}

}
