#ifndef BLUEBELLSPOKE_DECIDE_LOAD_LOAD_CHOICE_HPP
#define BLUEBELLSPOKE_DECIDE_LOAD_LOAD_CHOICE_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include <decide/endpoint_choice.hpp>
#include <decide/load/endpoint_load.hpp>

namespace bluebellspoke
{

/// Candidates whose latency under load is above this multiple of the best one's
/// aren't drawn.
inline constexpr double near_best_factor = 4;
/// Least part of an endpoint's slots that is taken to be free: a full endpoint
/// still gets some statements, which show when it is full no more.
inline constexpr double min_free_part = 0.1;

/// An endpoint that can run a statement, and what is known of its load.
struct loaded_candidate
{
    endpoint_candidate m_candidate;
    endpoint_load m_load;
};

/// What a candidate is expected to cost, in milliseconds.
struct load_cost
{
    double m_load_ms = 0;  ///< Latency, by running statements and free slots.
    double m_extra_ms = 0; ///< Of the connection, the region and the role.
};

struct load_choice
{
    std::size_t m_index = 0;
    bool m_is_best = false;      ///< It has the lowest expected cost.
    std::size_t m_near_best = 0; ///< Candidates that were drawn from.
};

/// True if it has an idle connection or one may be opened.
bool can_run(const loaded_candidate& c);
/// Returns the part of the slots that is believed to be in use: the average of
/// the reports, the closer to the mean of the candidates the older it is.
double believed_used(const endpoint_load& load, double mean, time_point now);
/// Returns the mean part of the slots in use, by slots and trust; 0 if there is
/// no report.
double mean_used(std::span<const loaded_candidate> candidates, time_point now);
/// Without any report the sum is expected_cost_ms.
load_cost expected_load_cost(const loaded_candidate& c, double mean,
                             time_point now);

/// Chooses one of the candidates that can run a statement; nothing if there is
/// none. `draw` is a random number in [0, 1): the same
/// arguments give the same choice.
///
/// Answers the load of many processes that choose by the same old reports: if
/// each took the best endpoint by its knowledge, they would overload one after
/// the other. They draw among the candidates near the best, by the rate at
/// which each can take statements. A candidate of a kind that costs more than
/// the best one's, such as another region, isn't drawn. Without known slots the
/// best one is chosen, as by choose_candidate.
std::optional<load_choice>
choose_by_load(std::span<const loaded_candidate> candidates, time_point now,
               double draw);

/// Returns the draw of a statement's next attempt, so that statements that
/// failed at one endpoint spread over the others.
double draw_of_attempt(double draw, std::uint32_t attempts) noexcept;

}

#endif
