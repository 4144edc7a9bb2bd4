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
    const std::chrono::duration<double> elapsed = now - b.m_at.value_or(now);
    b.m_at = now;
    if (b.m_saved < retry_floor)
        b.m_saved = std::min(retry_floor,
                             b.m_saved + retry_floor_rate * elapsed.count());
}

}

void note_first_attempt(retry_budget& b, time_point now)
{
    refill_over_time(b, now);
    b.m_saved = std::min(most_saved_retries, b.m_saved + retry_fraction);
}

bool take_retry(retry_budget& b, time_point now)
{
    refill_over_time(b, now);
    if (b.m_saved < 1)
        return false;
    b.m_saved -= 1;
    return true;
}

}
