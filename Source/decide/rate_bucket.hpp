#ifndef BLUEBELLSPOKE_DECIDE_RATE_BUCKET_HPP
#define BLUEBELLSPOKE_DECIDE_RATE_BUCKET_HPP

#include <model/clock.hpp>

namespace bluebellspoke
{

/// Token bucket with this process's share of a workspace's rate and burst.
struct rate_bucket
{
    double m_rate = 0;  ///< Tokens per second.
    double m_burst = 0; ///< Capacity in tokens.
    double m_tokens = 0;
    time_point m_refilled_at{};
};

/// Adds the tokens accrued since the last call.
void refill(rate_bucket& b, time_point now) noexcept;
/// Takes one token if there is one. Returns whether it did.
bool take_token(rate_bucket& b, time_point now) noexcept;
/// Changes the rate and the burst; tokens above the new burst are dropped.
void set_share(rate_bucket& b, double rate, double burst,
               time_point now) noexcept;

}

#endif
