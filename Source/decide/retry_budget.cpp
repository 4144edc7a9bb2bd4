#include <decide/retry_budget.hpp>

#include <algorithm>
#include <chrono>

namespace bluebellspoke
{

namespace
{

// Refills over time, up to retry_reserve: a group with little traffic adds
// hardly anything by first attempts, but needs retries during a failover too.
void refill_over_time(retry_budget& b, time_point now)
{
    const std::chrono::duration<double> elapsed =
        now - b.m_refilled_at.value_or(now);
    b.m_refilled_at = now;
    if (b.m_available < retry_reserve)
        b.m_available =
            std::min(retry_reserve,
                     b.m_available + retry_reserve_rate * elapsed.count());
}

}

void record_first_attempt(retry_budget& b, time_point now)
{
    refill_over_time(b, now);
    b.m_available = std::min(max_saved_retries, b.m_available + retry_fraction);
}

bool try_take_retry(retry_budget& b, time_point now)
{
    refill_over_time(b, now);
    if (b.m_available < 1)
        return false;
    b.m_available -= 1;
    return true;
}

}
