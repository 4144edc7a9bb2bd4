#ifndef BLUEBELLSPOKE_DECIDE_RETRY_BUDGET_HPP
#define BLUEBELLSPOKE_DECIDE_RETRY_BUDGET_HPP

#include <optional>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// Retries that one first attempt earns.
inline constexpr double retry_fraction = 0.1;
/// Retries that a group has at first, and comes back to by itself.
inline constexpr double retry_floor = 20;
/// Retries a second, while the budget is below the floor.
inline constexpr double retry_floor_rate = 1;
/// Retries that can be saved up.
inline constexpr double most_saved_retries = 1000;

/// What one daemon may repeat by itself in one group. In any time t it makes no
/// more retries than what was saved, and retry_fraction of its first attempts,
/// and retry_floor_rate * t.
struct retry_budget
{
    double m_saved = retry_floor;
    std::optional<time_point> m_at; ///< Up to when m_saved is counted.
};

/// A request is handed over for the first time.
void note_first_attempt(retry_budget& b, time_point now);
/// Pays for one retry. Returns false, and takes nothing, when it can't.
bool take_retry(retry_budget& b, time_point now);

}

#endif
