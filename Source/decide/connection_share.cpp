#include <decide/connection_share.hpp>

#include <algorithm>

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

}

std::uint32_t connection_share(const share_right& right, std::uint32_t limit,
                               std::string_view endpoint)
{
    const std::uint32_t reserved = monitors(right.m_epoch) + order_connections;
    return share_by_right(right, limit - std::min(limit, reserved), endpoint);
}

}
