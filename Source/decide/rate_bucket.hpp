#ifndef BLUEBELLSPOKE_DECIDE_RATE_BUCKET_HPP
#define BLUEBELLSPOKE_DECIDE_RATE_BUCKET_HPP

#include <model/clock.hpp>

namespace bluebellspoke
{

/// A token bucket over this process's share of a workspace's rate and burst.
struct rate_bucket
{
    double m_rate = 0;  ///< Tokens a second.
    double m_burst = 0; ///< Tokens at most.
    double m_tokens = 0;
    time_point m_filled_at{};
};

/// Adds the tokens due since the last call.
void refill(rate_bucket& b, time_point now) noexcept;
/// Takes one token. Returns false, and takes nothing, when there is none.
bool take_token(rate_bucket& b, time_point now) noexcept;
/// Changes the share; tokens above the new burst are given up.
void set_share(rate_bucket& b, double rate, double burst,
               time_point now) noexcept;

}

#endif
