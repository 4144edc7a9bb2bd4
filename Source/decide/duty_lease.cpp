#include <decide/duty_lease.hpp>

#include <algorithm>
#include <utility>

namespace bluebellspoke
{

namespace
{

constexpr std::chrono::milliseconds min_hedge_delay{20};
constexpr std::chrono::milliseconds max_hedge_delay{600};
constexpr std::chrono::milliseconds min_write_timeout{120};
// A store that is 50 times slower than usual answers in 200 ms.
constexpr std::chrono::milliseconds max_write_timeout{1200};
// Writes alone may be slow, which shows only once a timeout is long enough.
// With 80 % of the writes unanswered, so many on end remain so in 0.5 % of the
// cases.
constexpr unsigned writes_until_doubling = 24;
constexpr unsigned max_doublings = 4;

}

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

void note_answer_time(store_pace& pace, duration took) noexcept
{
    pace.m_answer_time = std::max(took, pace.m_answer_time / 2);
}

void note_write(store_pace& pace, bool was_answered) noexcept
{
    pace.m_unanswered_writes = was_answered ? 0 : pace.m_unanswered_writes + 1;
}

duration duty_hedge_delay(const store_pace& pace) noexcept
{
    constexpr int answer_times = 2;
    return std::clamp<duration>(answer_times * pace.m_answer_time,
                                min_hedge_delay, max_hedge_delay);
}

duration duty_write_timeout(const store_pace& pace) noexcept
{
    constexpr int answer_times = 8;
    const duration timeout =
        std::clamp<duration>(answer_times * pace.m_answer_time,
                             min_write_timeout, max_write_timeout);
    const unsigned doublings = std::min(
        pace.m_unanswered_writes / writes_until_doubling, max_doublings);
    return std::min<duration>(timeout * (1U << doublings), max_write_timeout);
}

bool may_order_promotion(time_point renewed_at, time_point now) noexcept
{
    return renewed_at != time_point{} && now < renewed_at + duty_validity;
}

}
