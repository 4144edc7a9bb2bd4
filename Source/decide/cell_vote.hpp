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

/// Processes from which on a fleet is divided into cells, one a zone. Below,
/// each process is a cell of its own, and all exchange digests: up to 24 of
/// them take some 0.3 % of a core each.
inline constexpr std::size_t least_for_cells = 25;
/// From one question of a keeper, or of one who stands for it, to the next.
inline constexpr std::chrono::milliseconds vote_period{250};
/// How long a vote counts, from before it was asked for: four questions.
inline constexpr std::chrono::milliseconds vote_time{1000};
/// How long a voter keeps to it, from its answer: vote_time and 1 % for clocks
/// that run at different rates.
inline constexpr std::chrono::milliseconds vote_promise{1010};
/// A process that no better one has asked for so long stands for keeper: three
/// questions and a late timer.
inline constexpr std::chrono::milliseconds keeper_silence{900};

/// The order in which the processes of a cell stand for its keeper.
struct cell_rank
{
    double m_processor = 0; ///< Cores of the VM that it may use.
    std::string m_name;
};

/// True when `a` goes before `b`: it has more processor time, or the lower
/// name.
bool outranks(const cell_rank& a, const cell_rank& b);

/// Whom a process has promised its vote.
struct cell_vote
{
    std::string m_for;
    std::uint64_t m_incarnation = 0;
    time_point m_until{}; ///< No other one gets it before.
};

/// Gives the vote to a process that asks for it, unless it is promised to
/// another one. A process that has just started may have promised it before.
bool grant_vote(cell_vote& v, std::string_view candidate,
                std::uint64_t incarnation, time_point started_at,
                time_point now);
/// The process that has the vote ends and keeps nothing any more.
void release_vote(cell_vote& v, std::string_view candidate);

/// When the votes that a process has were asked for, by voter.
using cell_poll = std::map<std::string, time_point, std::less<>>;

/// Until when a majority of the members has promised their votes; zero when
/// there is none.
time_point majority_until(const cell_poll& poll,
                          const std::set<std::string, std::less<>>& members);

}

#endif
