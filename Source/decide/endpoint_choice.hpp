#ifndef BLUEBELLSPOKE_DECIDE_ENDPOINT_CHOICE_HPP
#define BLUEBELLSPOKE_DECIDE_ENDPOINT_CHOICE_HPP

#include <cstdint>
#include <optional>
#include <span>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// Time that a new connection adds to its first statement: the work of the
/// endpoint and two round trips, one of them for the startup exchange.
inline constexpr double connect_cost_ms = 30;
/// Extra cost of a read at the primary that other endpoints could run: it
/// delays the statements that only the primary can run.
inline constexpr double primary_cost_ms = 15;
/// Extra cost of a read in another region: bandwidth between regions is scarce
/// and expensive, so an endpoint in the same region is used until it takes
/// several times its usual time.
inline constexpr double other_region_cost_ms = 80;
/// Age of the latest response at which the average latency is no longer used.
inline constexpr std::chrono::seconds max_average_age{3};
/// Weight of one response in the average latency.
inline constexpr double latency_smoothing_weight = 0.2;
/// Latency assumed for an endpoint without recent responses.
inline constexpr double default_latency_ms = 40;

/// An endpoint that can run a statement, as seen by one process.
struct endpoint_candidate
{
    double m_latency_ms = 0;     ///< Average latency; 0: no response yet.
    time_point m_responded_at{}; ///< Latest response.
    std::uint32_t m_running = 0; ///< Statements of this process.
    bool m_has_idle_connection = false;  ///< An idle connection exists.
    bool m_can_connect = false;          ///< A connection may be opened.
    bool m_in_other_region = false;      ///< In another region.
    bool m_is_avoidable_primary = false; ///< A primary, but others qualify too.
};

/// Time without any response after which an endpoint counts as unresponsive:
/// about twice the latency of an endpoint whose slots are all taken. Below it
/// the endpoint is only slow, and avoiding it would move its load to endpoints
/// that are as busy.
inline constexpr std::chrono::milliseconds unresponsive_after{250};
/// True when an endpoint with an overdue response should be avoided, as it last
/// responded to anything at `responded_at`.
bool is_unresponsive(time_point responded_at, time_point now) noexcept;

/// Returns the moving average after one more response. An average of zero means
/// that there was no response yet.
double smooth_latency(double average_ms, double latency_ms) noexcept;

/// Returns the expected latency of a statement at the endpoint, by its recent
/// responses and the statements that it runs for this process.
double expected_latency_ms(const endpoint_candidate& candidate, time_point now);
/// Returns what differences in kind cost: a connection that has to be opened,
/// another region, a primary that others could spare.
double extra_cost_ms(const endpoint_candidate& candidate) noexcept;
/// Returns the sum of both.
double expected_cost_ms(const endpoint_candidate& candidate, time_point now);

/// Returns the index of the candidate with the lowest expected cost, or nothing
/// if none has an idle connection or may open one.
std::optional<std::size_t>
choose_candidate(std::span<const endpoint_candidate> candidates,
                 time_point now);

}

#endif
