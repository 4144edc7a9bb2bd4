#ifndef BLUEBELLSPOKE_DECIDE_PROMOTION_HPP
#define BLUEBELLSPOKE_DECIDE_PROMOTION_HPP

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <model/endpoint_state.hpp>

namespace bluebellspoke
{

/// A primary that was not heard for this long is suspected.
inline constexpr std::chrono::milliseconds suspicion_time{1000};
/// The same while its replicas still hear it: this daemon may be cut off.
inline constexpr std::chrono::milliseconds contested_time{2000};
/// How long an election waits for its votes.
inline constexpr std::chrono::milliseconds vote_limit{800};
/// How long it waits for endpoints that may lead, once others are a majority.
inline constexpr std::chrono::milliseconds vote_grace{150};
/// Before the first daemon's turn, so that an election under way may end.
inline constexpr std::chrono::milliseconds first_turn{100};
/// Between the turns of two daemons, in rendezvous order.
inline constexpr std::chrono::milliseconds turn_step{250};

/// An endpoint as an election sees it.
struct voter
{
    std::optional<endpoint_state> m_state;
    /// When the last answered question was sent; absent: never heard.
    std::optional<time_point> m_heard_at;
    /// When a replica's age last showed that it hears a primary.
    std::optional<time_point> m_fed_at;
    time_point m_known_since{}; ///< When its settings were first seen.
    bool m_eligible = false;    ///< Neither leaving nor in a zone taken out.
};

enum class leadership : std::uint8_t
{
    led,
    unknown,   ///< Too little was heard to say, or to do anything.
    missed,    ///< Nobody leads at the highest fence, or nobody hears it.
    misplaced, ///< It leads where it should not, and others could.
};

/// True when a question of this long ago, or later, was answered.
bool heard_within(const voter& v, time_point now, duration limit) noexcept;

leadership judge_leadership(std::span<const voter> voters, time_point now);

/// The primary at the highest fence that any endpoint told.
std::optional<std::size_t> find_leader(std::span<const voter> voters) noexcept;
term_number highest_fence(std::span<const voter> voters) noexcept;

/// True when what the endpoints said to questions asked since then is enough to
/// begin an election on: a majority answered, and the others have had
/// vote_grace or were silent before.
bool is_known_since(std::span<const voter> voters, time_point since,
                    time_point now);

struct ballot
{
    bool m_granted = false;
    endpoint_state m_state;
};

/// One daemon's try to give a group a primary in a new term.
struct election
{
    term_number m_term = 0;
    std::string m_candidate; ///< Name and incarnation of the daemon.
    time_point m_began_at{};
    std::vector<std::optional<ballot>> m_ballots; ///< By endpoint.
};

/// `last_term` is the highest that this daemon tried before: a term in which
/// it may have promoted one endpoint is not tried again for another.
election begin_election(std::span<const voter> voters, term_number last_term,
                        std::string_view candidate, time_point now);

enum class election_outcome : std::uint8_t
{
    open,
    won,  ///< m_winner is to be promoted.
    lost, ///< Another term or candidate was quicker, or too few answered.
};

struct election_result
{
    election_outcome m_outcome = election_outcome::open;
    std::size_t m_winner = 0;
};

election_result judge_election(const election& e, std::span<const voter> voters,
                               time_point now);

/// A daemon's place in the order in which daemons may act on a group.
std::size_t rendezvous_rank(std::string_view group, std::string_view daemon,
                            std::span<const std::string> daemons);

/// How long a daemon of this rank waits before it acts.
duration turn_delay(std::size_t rank) noexcept;

/// A daemon that has not looked after a group for this long was paused: what
/// it knows and meant to do is out of date.
inline constexpr std::chrono::milliseconds pause_bound{500};

/// False for a daemon that is shutting down while there are others.
bool may_promote(bool leaving, std::string_view daemon,
                 std::span<const std::string> daemons);

/// The endpoints that have to be told to follow the leader: those fenced
/// below its term, and those that `told_terms` says were not told of it yet.
std::vector<std::size_t> find_strays(std::span<const voter> voters,
                                     std::size_t leader,
                                     std::span<const term_number> told_terms);

}

#endif
