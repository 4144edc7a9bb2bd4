#include <decide/group_lease.hpp>

#include <utility>

namespace bluebellspoke
{

// The holder measures the lease from before its request, every other daemon
// from its first observation of the record, which is later. So the lease has
// expired for its holder before another daemon acquires it, whatever time the
// clocks of the VMs show.
group_lease_status evaluate_group_lease(const group_lease_observation& seen,
                                        const group_lease_record& claim,
                                        time_point now)
{
    if (seen.m_version != 0 && seen.m_record == claim)
        return group_lease_status::held_by_claim;
    if (seen.m_version == 0 || seen.m_record.m_holder.empty())
        return group_lease_status::available;
    if (seen.m_record.m_holder == claim.m_holder)
        return group_lease_status::available;
    const duration length =
        std::chrono::milliseconds(seen.m_record.m_length_ms);
    const bool expired = now - seen.m_first_seen_at >= length;
    return expired ? group_lease_status::available
                   : group_lease_status::held_by_other;
}

group_lease_observation
observe_group_lease(const std::optional<group_lease_observation>& before,
                    std::uint64_t version, group_lease_record record,
                    time_point now)
{
    if (before && before->m_version == version)
        return *before;
    return {version, std::move(record), now};
}

time_point group_lease_expiry(time_point requested_at) noexcept
{
    return requested_at + group_lease_duration;
}

}
