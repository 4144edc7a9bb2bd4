#include <decide/connection_share.hpp>

#include <algorithm>
#include <vector>

namespace bluebellspoke
{

namespace
{

constexpr std::uint32_t order_connections = 1;

// Until an epoch is settled, members of the former one hold monitors too.
std::uint32_t monitors(const fleet_epoch& e)
{
    std::size_t count = e.m_members.size();
    for (const fleet_member& m : e.m_former)
        if (find_member(e.m_members, m.m_name) == nullptr)
            ++count;
    return static_cast<std::uint32_t>(count);
}

// The connections of a process are closed with it, so the one that takes its
// place has its part at once, also while the platform can't name it in an
// epoch.
void take_place(std::vector<fleet_member>& members, const fleet_member& self)
{
    for (fleet_member& m : members)
        if (m.m_name == self.m_name)
            m.m_incarnation = self.m_incarnation;
}

}

std::uint32_t connection_share(const share_right& right, std::uint32_t limit,
                               std::string_view endpoint)
{
    const std::uint32_t reserved = monitors(right.m_epoch) + order_connections;
    share_right by_name = right;
    take_place(by_name.m_epoch.m_members, right.m_self);
    take_place(by_name.m_epoch.m_former, right.m_self);
    return share_by_right(by_name, limit - std::min(limit, reserved), endpoint);
}

}
