#ifndef BLUEBELLSPOKE_DAEMON_POOL_METRICS_HPP
#define BLUEBELLSPOKE_DAEMON_POOL_METRICS_HPP

#include <array>
#include <cstdint>
#include <optional>

#include <report/latency_histogram.hpp>
#include <report/metric.hpp>

namespace bluebellspoke
{

struct pool_state;
struct request;

/// What the pool task counts; arrays go by statement_kind.
struct pool_counts
{
    std::array<std::uint64_t, 2> m_at_replica{};
    std::array<std::uint64_t, 2> m_at_primary{};
    std::array<latency_histogram, 2> m_queue_time;
    std::array<latency_histogram, 2> m_endpoint_time;
    latency_histogram m_confirm_time;
    std::uint64_t m_retries = 0;
    std::uint64_t m_retries_refused = 0;    ///< By a group's budget.
    std::optional<time_point> m_last_write; ///< Acknowledged.
};

void count_hand_over(pool_counts& counts, const request& r);
/// The endpoint has answered.
void count_endpoint_answer(pool_counts& counts, request& r);
/// The request ends with an answer.
void count_answer(pool_counts& counts, const request& r);
metric_families collect_pool(const pool_state& p);

}

#endif
