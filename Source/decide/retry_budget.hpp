#ifndef BLUEBELLSPOKE_DECIDE_RETRY_BUDGET_HPP
#define BLUEBELLSPOKE_DECIDE_RETRY_BUDGET_HPP

#include <optional>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// Retries added to the budget for each first attempt.
inline constexpr double retry_fraction = 0.1;
/// Initial budget of a group, and the level to which it refills over time.
inline constexpr double retry_reserve = 20;
/// Retries added per second while the budget is below retry_reserve.
inline constexpr double retry_reserve_rate = 1;
/// Upper limit of the budget.
inline constexpr double max_saved_retries = 1000;

/// Limits the automatic retries of one daemon in one group, so that a failing
/// group isn't overloaded by them. During any t seconds the daemon makes at
/// most as many retries as were available at their start, plus retry_fraction
/// of its first attempts, plus retry_reserve_rate * t.
struct retry_budget
{
    double m_available = retry_reserve;      ///< Available retries.
    std::optional<time_point> m_refilled_at; ///< Last refill over time.
};

/// Adds to the budget when a request is sent for the first time.
void record_first_attempt(retry_budget& b, time_point now);
/// Deducts one retry. Returns false and deducts nothing if less than one is
/// available.
bool try_take_retry(retry_budget& b, time_point now);

}

#endif
