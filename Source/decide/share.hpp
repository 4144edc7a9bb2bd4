#ifndef BLUEBELLSPOKE_DECIDE_SHARE_HPP
#define BLUEBELLSPOKE_DECIDE_SHARE_HPP

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <decide/fleet_epoch.hpp>

namespace bluebellspoke
{

/// Entitles one daemon to its shares of the fleet-wide limits: the membership
/// that they are computed from and the time span in which they are valid.
struct share_entitlement
{
    fleet_epoch m_epoch;
    fleet_member m_self;
    /// False: no share exceeds that of the former epoch.
    bool m_settled = false;
    /// No earlier process of this name was a member.
    bool m_is_first_incarnation = false;
    /// Loans of the previous process have expired by then.
    time_point m_valid_from{};
    time_point m_valid_until{}; ///< End of the daemon's standing.
    std::vector<std::string>
        m_lenders; ///< Names of the peers to ask for loans.
};

/// Immutable copy that all resources of a task share.
struct shared_entitlement
    : boost::intrusive_ref_counter<shared_entitlement,
                                   boost::thread_unsafe_counter>
{
    explicit shared_entitlement(share_entitlement entitlement)
        : m_entitlement(std::move(entitlement))
    {
    }

    const share_entitlement m_entitlement;
};

using shared_entitlement_ptr = boost::intrusive_ptr<const shared_entitlement>;

shared_entitlement_ptr make_shared_entitlement(share_entitlement entitlement);
/// True when both give the same shares, regardless of their time spans.
bool gives_same_shares(const share_entitlement& a, const share_entitlement& b);

/// Returns one member's share of a limit. The shares of all members add up to
/// the limit; which members get the remainder depends on the resource.
std::uint32_t member_share(std::uint32_t limit,
                           std::span<const fleet_member> members,
                           const fleet_member& self, std::string_view resource);

/// Returns the daemon's share of a limit, regardless of the time span.
std::uint32_t entitled_share(const share_entitlement& entitlement,
                             std::uint32_t limit, std::string_view resource);

/// Returns the same share at `now`: 0 before m_valid_from and from
/// m_valid_until on.
std::uint32_t entitled_share_at(const share_entitlement& entitlement,
                                std::uint32_t limit, std::string_view resource,
                                time_point now);

/// Returns the order in which the daemon asks its peers for a resource. It is
/// different for each daemon, so that not all ask the same peer first.
std::vector<std::string> lenders_in_order(const share_entitlement& entitlement,
                                          std::string_view resource);

}

#endif
