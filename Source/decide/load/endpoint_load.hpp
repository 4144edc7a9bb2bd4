#ifndef BLUEBELLSPOKE_DECIDE_LOAD_ENDPOINT_LOAD_HPP
#define BLUEBELLSPOKE_DECIDE_LOAD_ENDPOINT_LOAD_HPP

#include <chrono>
#include <cstdint>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// Time between two reports at which the later one has 63 % of the weight. One
/// count says little of slots that are taken and freed within some 30 ms; with
/// 2 s, processes followed the counts and overloaded the endpoints in turn.
inline constexpr std::chrono::seconds load_smoothing_time{10};
/// Age at which an average counts for 37 % of its difference from the group's
/// mean: the interval at which a cell leader asks each endpoint.
inline constexpr std::chrono::seconds load_trust_time{1};
/// Number of reports from which an average is trusted by half: the first count
/// of four slots says little, and must not send reads to another region.
inline constexpr double half_trusted_reports = 3;
/// Weight of a refused statement in the average. A refusal is new and certain;
/// weights from 0 to 0.3 made no difference that exceeds the noise.
inline constexpr double refusal_weight = 0.2;

/// What one process knows of how full an endpoint is.
struct endpoint_load
{
    std::uint32_t m_slots = 0;   ///< Statements that run at once; 0: unknown.
    double m_used = 0;           ///< Smoothed part of the slots in use, 0 to 1.
    std::uint32_t m_reports = 0; ///< Reports and refusals so far.
    time_point m_measured_at{};  ///< Newest report; zero: none yet.
};

/// Records that `busy` slots were in use at `measured_at`. Without effect if
/// the slots aren't known or what is known is as new.
void record_busy_slots(endpoint_load& load, std::uint32_t busy,
                       time_point measured_at);
/// Records that the endpoint refused a statement because it was full. Without
/// effect if the slots aren't known.
void record_full_slots(endpoint_load& load, time_point refused_at);

/// Returns how far the average is trusted, from 1 for a report that is new to 0
/// without any.
double load_trust(const endpoint_load& load, time_point now);

}

#endif
