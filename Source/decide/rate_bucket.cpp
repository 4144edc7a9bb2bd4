#include <decide/rate_bucket.hpp>

#include <algorithm>
#include <chrono>

namespace bluebellspoke
{

void refill(rate_bucket& b, time_point now) noexcept
{
    if (now <= b.m_refilled_at)
        return;
    const std::chrono::duration<double> passed = now - b.m_refilled_at;
    b.m_tokens = std::min(b.m_burst, b.m_tokens + b.m_rate * passed.count());
    b.m_refilled_at = now;
}

bool take_token(rate_bucket& b, time_point now) noexcept
{
    refill(b, now);
    if (b.m_tokens < 1)
        return false;
    b.m_tokens -= 1;
    return true;
}

void set_share(rate_bucket& b, double rate, double burst,
               time_point now) noexcept
{
    refill(b, now);
    b.m_rate = rate;
    b.m_burst = burst;
    b.m_tokens = std::min(b.m_tokens, burst);
}

}
