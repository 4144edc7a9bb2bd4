#ifndef BLUEBELLSPOKE_DECIDE_CELL_VOTE_HPP
#define BLUEBELLSPOKE_DECIDE_CELL_VOTE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// Number of processes from which a fleet is divided into cells, one per zone.
/// In a smaller fleet each process forms its own cell and all processes
/// exchange digests, which costs about 0.3 % of a core per process with 24
/// processes.
inline constexpr std::size_t min_processes_for_cells = 25;
/// Interval between the vote requests of a cell leader, the elected process
/// that keeps the rates of its cell, or of a candidate for that role.
inline constexpr std::chrono::milliseconds vote_request_interval{250};
/// How long a vote is valid for the candidate, counted from before it sent the
/// request: four request intervals.
inline constexpr std::chrono::milliseconds vote_validity{1000};
/// How long a voter is bound by its vote, counted from its response:
/// vote_validity plus 1 % for clock rate differences.
inline constexpr std::chrono::milliseconds vote_hold_time{1010};
/// A process becomes a candidate for cell leader when it has received no
/// request from a higher-ranked process for this long: three request intervals
/// plus 150 ms for a late timer.
inline constexpr std::chrono::milliseconds cell_election_timeout{900};

/// Ranks a process among the candidates for cell leader.
struct cell_rank
{
    double m_cores = 0; ///< Cores of the VM that the process may use.
    std::string m_name;
};

/// Returns true when `a` ranks above `b`: it may use more cores or, with as
/// many, its name sorts first.
bool outranks(const cell_rank& a, const cell_rank& b);

/// The vote that a process has given.
struct cell_vote
{
    std::string m_candidate;
    std::uint64_t m_incarnation = 0;
    time_point m_until{}; ///< No other candidate gets the vote earlier.
};

/// Whether a voter that has just started waits before it grants a vote.
enum class vote_hold : std::uint8_t
{
    /// For vote_hold_time, because it may have voted before its restart and
    /// lost the record of it.
    applies,
    /// The candidate has shown that nobody holds such a vote (restart_check).
    waived,
};

/// Grants or renews the vote for `candidate`, unless another candidate or
/// incarnation holds it, or the hold applies to a voter that started at
/// `started_at`.
bool grant_vote(cell_vote& v, std::string_view candidate,
                std::uint64_t incarnation, time_point started_at,
                time_point now, vote_hold hold = vote_hold::applies);
/// Frees the vote if `candidate` holds it: that process is shutting down and
/// has given up the role of cell leader.
void release_vote(cell_vote& v, std::string_view candidate);

/// When the votes that a candidate holds were requested, by voter.
using vote_request_times = std::map<std::string, time_point, std::less<>>;

/// Returns the time until which the votes of a majority of `members` are valid,
/// or the zero time point when there is no majority.
time_point majority_expiry(const vote_request_times& votes,
                           const std::set<std::string, std::less<>>& members);

}

#endif
