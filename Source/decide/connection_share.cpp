#include <decide/connection_share.hpp>

#include <algorithm>
#include <span>

namespace bluebellspoke
{

namespace
{

constexpr std::uint32_t order_connections = 1;

// Until an epoch is settled, members of the former epoch may have monitor
// connections open as well.
std::uint32_t monitor_connections(const fleet_epoch& e)
{
    std::size_t count = e.m_members.size();
    for (const fleet_member& m : e.m_former)
        if (find_member(e.m_members, m.m_name) == nullptr)
            ++count;
    return static_cast<std::uint32_t>(count);
}

// The connections of a process are closed when it ends, so its successor gets
// the same share at once, also while the platform is unavailable and no epoch
// can include the new incarnation.
std::uint32_t share_by_name(std::uint32_t limit,
                            std::span<const fleet_member> members,
                            std::string_view name, std::string_view endpoint)
{
    const fleet_member* member = find_member(members, name);
    return member == nullptr ? 0
                             : member_share(limit, members, *member, endpoint);
}

}

std::uint32_t connection_share(const share_entitlement& entitlement,
                               std::uint32_t limit, std::string_view endpoint)
{
    const fleet_epoch& epoch = entitlement.m_epoch;
    const std::string_view name = entitlement.m_self.m_name;
    const std::uint32_t reserved =
        monitor_connections(epoch) + order_connections;
    const std::uint32_t rest = limit - std::min(limit, reserved);
    const std::uint32_t part =
        share_by_name(rest, epoch.m_members, name, endpoint);
    if (entitlement.m_settled)
        return part;
    return std::min(part, share_by_name(rest, epoch.m_former, name, endpoint));
}

}
