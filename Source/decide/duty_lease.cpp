#include <decide/duty_lease.hpp>

#include <utility>

namespace bluebellspoke
{

duty_observation observe_duty(const std::optional<duty_observation>& before,
                              std::uint64_t revision, duty_record record,
                              time_point now)
{
    // A response from a stale copy may be older than the last one.
    if (before && revision <= before->m_revision)
        return *before;
    return {revision, std::move(record), now};
}

bool may_acquire_duty(const duty_observation& seen, std::string_view self,
                      std::uint64_t incarnation, time_point now)
{
    const duty_record& r = seen.m_record;
    if (r.m_holder.empty())
        return true;
    // An earlier process on the same node has ended.
    if (r.m_holder == self)
        return r.m_incarnation != incarnation;
    return now - seen.m_first_seen_at >= duty_acquisition_delay;
}

duty_record acquire_duty(const duty_record& before, std::string_view self,
                         std::uint64_t incarnation)
{
    duty_record r = before;
    r.m_holder = self;
    r.m_incarnation = incarnation;
    ++r.m_token;
    ++r.m_renewals;
    return r;
}

bool may_order_promotion(time_point renewed_at, time_point now) noexcept
{
    return renewed_at != time_point{} && now < renewed_at + duty_validity;
}

}
