#ifndef BLUEBELLSPOKE_DECIDE_LOAD_TURN_WAIT_HPP
#define BLUEBELLSPOKE_DECIDE_LOAD_TURN_WAIT_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include <decide/load/turn_queue.hpp>

namespace bluebellspoke
{

/// Time from an endpoint's answer to the caller's receipt of it: one way to a
/// caller (3 ms in the described deployments) and one late timer (20 ms).
inline constexpr std::chrono::milliseconds answer_margin{25};

/// When a statement's turn is expected, counted from now.
struct expected_turn
{
    duration m_earliest{};   ///< A low estimate.
    duration m_latest{};     ///< A high estimate.
    std::size_t m_ahead = 0; ///< Statements of its kind that go first.
    rate_range m_rate;       ///< Turns per second that its priority can get.
    duration m_rate_age{};   ///< Since the last turn of the kind.
};

/// A statement that waits, or would from now on.
struct turn_request
{
    turn_class m_class;
    std::string_view m_workspace;
    double m_weight = 1;
    time_point m_due{};
    /// Null if it isn't queued.
    const fair_queue_hook* m_item = nullptr;
};

/// Returns how many statements of its kind go before the requested one.
std::size_t items_ahead(const turn_queue& q, const turn_request& request);

/// Returns nothing if the rate is unknown, or if no statement of the kind
/// waits.
std::optional<expected_turn>
expect_turn(const turn_queue& q, const turn_request& request, time_point now);

/// How many times a statement's usual time is left before its deadline when it
/// is sent after a longer wait: the outcome of a write that isn't answered by
/// then is unknown.
inline constexpr int deadline_reserve = 2;

/// Whether and how long a statement waits.
enum class wait_decision : std::uint8_t
{
    unknown,  ///< No estimate: as long as before a caller tries elsewhere.
    in_time,  ///< Its turn comes while an answer is useful.
    hopeless, ///< Its turn comes too late; it is refused at once.
};

wait_decision decide_wait(const std::optional<expected_turn>& expected,
                          duration useful_time);

/// Limits of how long a statement may wait for its turn.
struct wait_limits
{
    time_point m_operation_start{}; ///< Arrival of its operation.
    duration m_latency_objective{};
    duration m_usual_time{};           ///< Of such an operation at endpoints.
    duration m_usual_statement_time{}; ///< Of one statement of its kind.
    time_point m_least{};              ///< Waits without an estimate end here.
    time_point m_deadline{};           ///< Timeout of the statement.
};

/// Returns the latest time of its turn at which an answer is still useful to
/// the caller.
time_point useful_until(const wait_limits& limits);

}

#endif
