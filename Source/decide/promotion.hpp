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

/// A primary is suspected to have failed when it has not responded for this
/// long.
inline constexpr std::chrono::milliseconds suspicion_timeout{1000};
/// The same while its replicas still receive from it: then this daemon may be
/// the one that is partitioned.
inline constexpr std::chrono::milliseconds contested_suspicion_timeout{2000};
/// How long an election waits for votes before it is lost.
inline constexpr std::chrono::milliseconds election_timeout{800};
/// How long an election waits for a majority of votes from eligible endpoints
/// before it accepts a majority that includes ineligible ones.
inline constexpr std::chrono::milliseconds preferred_vote_wait{150};
/// Delay of the first daemon's turn, so that a running election can finish.
inline constexpr std::chrono::milliseconds first_turn_delay{100};
/// Delay between the turns of consecutive daemons in rendezvous order.
inline constexpr std::chrono::milliseconds turn_interval{250};

/// The state of an endpoint as far as elections use it.
struct voter
{
    std::optional<endpoint_state> m_state;
    /// When the last answered request was sent; absent: none was answered.
    std::optional<time_point> m_last_contact_at;
    /// When the age that a replica reports last showed that it receives data
    /// from a primary.
    std::optional<time_point> m_primary_contact_at;
    time_point m_known_since{}; ///< When its settings were first received.
    bool m_eligible = false;    ///< Neither leaving nor in an evacuated zone.
};

enum class leadership : std::uint8_t
{
    led,
    unknown,   ///< Too few endpoints responded to decide.
    missing,   ///< No primary at the highest fence, or it doesn't respond.
    misplaced, ///< The primary is ineligible and could be replaced.
};

/// Returns true when a request that was sent within the last `limit` was
/// answered.
bool responded_within(const voter& v, time_point now, duration limit) noexcept;

leadership evaluate_leadership(std::span<const voter> voters, time_point now);

/// Returns the primary at the highest fence that any endpoint reported.
std::optional<std::size_t> find_leader(std::span<const voter> voters) noexcept;
term_number highest_fence(std::span<const voter> voters) noexcept;

/// Returns true when the responses to requests sent since `since` suffice to
/// begin an election: a majority responded, and each of the others has had
/// preferred_vote_wait to respond or was unresponsive before.
bool is_fresh_since(std::span<const voter> voters, time_point since,
                    time_point now);

struct ballot
{
    bool m_granted = false;
    endpoint_state m_state;
};

/// One attempt of a daemon to elect a primary for a group in a new term.
struct election
{
    term_number m_term = 0;
    std::string m_candidate; ///< Name and incarnation of the daemon.
    time_point m_began_at{};
    std::vector<std::optional<ballot>> m_ballots; ///< By endpoint index.
};

/// Begins an election above `last_term`, the highest term that this daemon used
/// before: it may have promoted an endpoint in that term and must not promote
/// another one in it.
election begin_election(std::span<const voter> voters, term_number last_term,
                        std::string_view candidate, time_point now);

enum class election_outcome : std::uint8_t
{
    open,
    won,  ///< m_winner can be promoted.
    lost, ///< Too many votes were refused because of another candidate or a
          ///< later term, or too few arrived in time.
};

struct election_result
{
    election_outcome m_outcome = election_outcome::open;
    std::size_t m_winner = 0;
};

election_result evaluate_election(const election& e,
                                  std::span<const voter> voters,
                                  time_point now);

/// Returns the rank of a daemon, from 0, in the order in which daemons act on a
/// group. Rendezvous hashing gives each group an order of its own.
std::size_t rendezvous_rank(std::string_view group, std::string_view daemon,
                            std::span<const std::string> daemons);

/// Returns how long a daemon of this rank waits before it acts.
duration turn_delay(std::size_t rank) noexcept;

/// A daemon that has not processed a group for this long was suspended, so its
/// view of the group and its pending decisions are stale.
inline constexpr std::chrono::milliseconds max_maintenance_gap{500};

/// Returns false for a daemon that is shutting down while others are running.
bool may_promote(bool leaving, std::string_view daemon,
                 std::span<const std::string> daemons);

/// Returns the indexes of the endpoints that need an order to follow the
/// leader: those fenced below its term, and those whose entry in
/// `ordered_terms`, the terms of the last order to each endpoint, is older.
std::vector<std::size_t>
find_stale_followers(std::span<const voter> voters, std::size_t leader,
                     std::span<const term_number> ordered_terms);

}

#endif
