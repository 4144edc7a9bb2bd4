#include <decide/retry_budget.hpp>

#include <algorithm>
#include <chrono>

namespace bluebellspoke
{

namespace
{

// A quiet group earns next to nothing, and has failovers all the same.
void refill_floor(retry_budget& b, time_point now)
{
    const std::chrono::duration<double> passed = now - b.m_at.value_or(now);
    b.m_at = now;
    if (b.m_saved < retry_floor)
        b.m_saved = std::min(retry_floor,
                             b.m_saved + retry_floor_rate * passed.count());
}

}

void note_first_attempt(retry_budget& b, time_point now)
{
    refill_floor(b, now);
    b.m_saved = std::min(most_saved_retries, b.m_saved + retry_fraction);
}

bool take_retry(retry_budget& b, time_point now)
{
    refill_floor(b, now);
    if (b.m_saved < 1)
        return false;
    b.m_saved -= 1;
    return true;
}

}
