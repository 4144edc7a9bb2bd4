#include <decide/fleet_epoch.hpp>

#include <algorithm>

namespace bluebellspoke
{

namespace
{

const member_sight* find_sight(std::span<const member_sight> sights,
                               std::string_view name) noexcept
{
    const auto found = std::find_if(sights.begin(), sights.end(),
                                    [&](const member_sight& s)
                                    {
                                        return s.m_member.m_name == name;
                                    });
    return found == sights.end() ? nullptr : &*found;
}

bool is_silent(const member_sight& s, time_point now)
{
    const duration bound = s.m_listed ? duration(listed_silence_bound)
                                      : duration(unlisted_silence_bound);
    return now - s.m_heard_at > bound;
}

bool is_heard(const member_sight& s, time_point now)
{
    return s.m_member.m_incarnation != 0 && !is_silent(s, now);
}

// The address is bound by one process at a time, so whoever answers there in
// another incarnation shows that the former process has ended.
bool replaces(const fleet_member& successor, const fleet_member& former)
{
    return successor.m_name == former.m_name &&
           successor.m_address == former.m_address &&
           successor.m_incarnation != 0 &&
           successor.m_incarnation != former.m_incarnation;
}

bool follows(const fleet_member& former, const member_sight& s,
             std::uint64_t epoch)
{
    return (s.m_member == former && s.m_follows >= epoch) ||
           replaces(s.m_member, former);
}

bool has_applied(const fleet_member& former, const member_sight& s,
                 std::uint64_t epoch)
{
    return (s.m_member == former && s.m_applied >= epoch) ||
           replaces(s.m_member, former);
}

template <class Condition>
std::size_t count_former(const fleet_epoch& epoch,
                         std::span<const member_sight> sights,
                         Condition condition)
{
    std::size_t count = 0;
    for (const fleet_member& former : epoch.m_former)
    {
        const member_sight* s = find_sight(sights, former.m_name);
        if (s != nullptr && condition(former, *s, epoch.m_number))
            ++count;
    }
    return count;
}

// A daemon that hears few of the others may itself be the one cut off.
bool hears_half(const fleet_epoch& epoch, std::span<const member_sight> sights,
                time_point now)
{
    std::size_t heard = 0;
    for (const fleet_member& m : epoch.m_members)
    {
        const member_sight* s = find_sight(sights, m.m_name);
        if (s != nullptr && is_heard(*s, now))
            ++heard;
    }
    return 2 * heard >= epoch.m_members.size();
}

}

std::optional<std::vector<fleet_member>>
propose_members(const fleet_epoch& epoch, std::span<const member_sight> sights,
                time_point now)
{
    const bool may_remove = hears_half(epoch, sights, now);
    std::vector<fleet_member> next;
    for (const fleet_member& m : epoch.m_members)
    {
        const member_sight* s = find_sight(sights, m.m_name);
        if (s != nullptr && is_heard(*s, now))
            next.push_back(s->m_member);
        else if (s == nullptr || !may_remove || !is_silent(*s, now))
            next.push_back(m);
    }
    for (const member_sight& s : sights)
        if (s.m_listed && is_heard(s, now) &&
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

// A member that doesn't follow the epoch keeps its older share only while it
// has standing. Once half of the former members follow, those that don't are
// too few to witness for each other, and the rest of their time is bounded.
void update_settling(settling& s, const fleet_epoch& epoch,
                     std::span<const member_sight> sights, time_point now)
{
    if (s.m_epoch != epoch.m_number)
        s = {epoch.m_number, std::nullopt, false};
    if (s.m_settled || epoch.m_number == 0)
        return;
    const std::size_t former = epoch.m_former.size();
    if (count_former(epoch, sights, has_applied) == former)
    {
        s.m_settled = true;
        return;
    }
    if (!s.m_half_follows_at &&
        2 * count_former(epoch, sights, follows) >= former)
        s.m_half_follows_at = now;
    s.m_settled =
        s.m_half_follows_at && now - *s.m_half_follows_at > settle_wait;
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
