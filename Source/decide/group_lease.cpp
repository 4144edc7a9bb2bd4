#include <decide/group_lease.hpp>

#include <utility>

namespace bluebellspoke
{

// The holder counts from before it asked, everybody else from when they first
// saw the record, which is later: nobody takes a lease that its holder still
// counts on, whatever the clocks of the VMs show.
lease_step judge_lease(const lease_sighting& seen, const lease_record& claim,
                       time_point now)
{
    if (seen.m_version != 0 && seen.m_record == claim)
        return lease_step::held;
    if (seen.m_version == 0 || seen.m_record.m_holder.empty())
        return lease_step::take;
    if (seen.m_record.m_holder == claim.m_holder)
        return lease_step::take;
    const duration length =
        std::chrono::milliseconds(seen.m_record.m_length_ms);
    const bool lapsed = now - seen.m_first_seen_at >= length;
    return lapsed ? lease_step::take : lease_step::wait;
}

lease_sighting note_lease(const std::optional<lease_sighting>& before,
                          std::uint64_t version, lease_record record,
                          time_point now)
{
    if (before && before->m_version == version)
        return *before;
    return {version, std::move(record), now};
}

time_point lease_end(time_point asked_at) noexcept
{
    return asked_at + lease_length;
}

}
