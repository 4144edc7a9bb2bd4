#include <decide/share.hpp>

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace bluebellspoke
{

namespace
{

std::uint64_t rank_of(std::string_view resource, std::string_view name,
                      std::uint64_t seed = 0)
{
    const std::uint64_t resource_hash =
        XXH3_64bits_withSeed(resource.data(), resource.size(), seed);
    return XXH3_64bits_withSeed(name.data(), name.size(), resource_hash);
}

}

shared_entitlement_ptr make_shared_entitlement(share_entitlement entitlement)
{
    return shared_entitlement_ptr(
        new shared_entitlement(std::move(entitlement)));
}

// Epochs with the same number have the same members.
bool gives_same_shares(const share_entitlement& a, const share_entitlement& b)
{
    return a.m_epoch.m_number == b.m_epoch.m_number && a.m_self == b.m_self &&
           a.m_settled == b.m_settled;
}

std::uint32_t member_share(std::uint32_t limit,
                           std::span<const fleet_member> members,
                           const fleet_member& self, std::string_view resource)
{
    const fleet_member* mine = find_member(members, self.m_name);
    if (mine == nullptr || mine->m_incarnation != self.m_incarnation)
        return 0;
    const auto count = static_cast<std::uint32_t>(members.size());
    const std::uint64_t own_rank = rank_of(resource, self.m_name);
    const auto ahead = std::count_if(
        members.begin(), members.end(),
        [&](const fleet_member& m)
        {
            return std::pair(rank_of(resource, m.m_name),
                             std::string_view(m.m_name)) <
                   std::pair(own_rank, std::string_view(self.m_name));
        });
    const bool gets_remainder =
        static_cast<std::uint32_t>(ahead) < limit % count;
    return limit / count + (gets_remainder ? 1 : 0);
}

std::uint32_t entitled_share(const share_entitlement& entitlement,
                             std::uint32_t limit, std::string_view resource)
{
    const fleet_epoch& e = entitlement.m_epoch;
    const std::uint32_t share =
        member_share(limit, e.m_members, entitlement.m_self, resource);
    if (entitlement.m_settled)
        return share;
    return std::min(
        share, member_share(limit, e.m_former, entitlement.m_self, resource));
}

std::uint32_t entitled_share_at(const share_entitlement& entitlement,
                                std::uint32_t limit, std::string_view resource,
                                time_point now)
{
    if (now < entitlement.m_valid_from || now >= entitlement.m_valid_until)
        return 0;
    return entitled_share(entitlement, limit, resource);
}

std::vector<std::string> lenders_in_order(const share_entitlement& entitlement,
                                          std::string_view resource)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const std::string& name : entitlement.m_lenders)
        ranked.emplace_back(
            rank_of(resource, name, entitlement.m_self.m_incarnation), name);
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> names;
    names.reserve(ranked.size());
    for (auto& [rank, name] : ranked)
        names.push_back(std::move(name));
    return names;
}

}
