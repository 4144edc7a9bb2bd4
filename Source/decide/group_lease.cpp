#include <decide/group_lease.hpp>

#include <utility>

namespace bluebellspoke
{

// The holder measures the lease from before its request, every other daemon
// from its first observation of the record, which is later. So the lease has
// expired for its holder before another daemon acquires it, whatever time the
// clocks of the VMs show.
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
    const bool expired = now - seen.m_first_seen_at >= length;
    return expired ? lease_step::take : lease_step::wait;
}

lease_sighting note_lease(const std::optional<lease_sighting>& before,
                          std::uint64_t version, lease_record record,
                          time_point now)
{
    if (before && before->m_version == version)
        return *before;
    return {version, std::move(record), now};
}

time_point lease_end(time_point requested_at) noexcept
{
    return requested_at + lease_length;
}

}
