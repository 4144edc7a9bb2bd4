#ifndef BLUEBELLSPOKE_DECIDE_LOAD_COLD_START_HPP
#define BLUEBELLSPOKE_DECIDE_LOAD_COLD_START_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include <decide/cell_vote.hpp>
#include <decide/load/home_choice.hpp>
#include <model/clock.hpp>

namespace bluebellspoke
{

/// Fraction of the permitted excess over a limit that processes may use after
/// their start. The rest covers shares that move between processes, and late
/// arrivals.
inline constexpr double start_credit_ratio = 0.75;
/// Fraction of that credit that processes may use before they know a cell
/// leader. The leaders get the other half: it serves what has waited for them.
inline constexpr double own_credit_ratio = 0.5;
/// Time after the start of a process in which it may use its own credit. An
/// election that a lost candidate delays by cell_election_timeout ends within
/// it.
inline constexpr std::chrono::milliseconds cold_start_limit{3000};
/// Time from the moment at which processes may vote until all know their
/// leader: a second and a third round of vote requests, as some voters start
/// later, the next round, which names the leader, and 100 ms for late timers.
/// With a round less, statements were refused 10 ms before their process knew a
/// leader that was elected 1.35 s after the start.
inline constexpr duration election_allowance =
    3 * vote_request_interval + std::chrono::milliseconds(100);
/// Interval of token requests while no cell leader answers. A request that
/// finds no leader costs one message within the process during a start, and up
/// to one between processes later.
inline constexpr std::chrono::milliseconds cold_token_retry_delay{20};
inline constexpr std::chrono::milliseconds token_retry_delay{100};

/// What one process knows of its own start, in a fleet with cell leaders.
struct cold_start
{
    time_point m_started_at{};
    /// A cell leader was known, or the process has divided the limits without
    /// one, so its own credit is void.
    bool m_is_over = false;
};

/// What a workspace's limit permits beyond its rate and burst.
struct rate_excess
{
    double m_rate = 0;       ///< Operations per second.
    duration m_window{};     ///< Over which the rate is enforced.
    double m_overage = 0;    ///< Fraction of the rate.
    double m_operations = 0; ///< In addition.
};

/// Returns the operations that all processes together may admit before they
/// know a cell leader.
std::uint32_t own_credit_total(const rate_excess& e) noexcept;
/// Returns the operations that a new cell leader may admit before its bucket
/// fills. The sum over `cells` leaders and own_credit_total() is
/// start_credit_ratio of the excess.
double leader_credit(const rate_excess& e, std::size_t cells) noexcept;

/// Who holds the own credit: the home processes of all regions.
struct credit_holders
{
    std::string_view m_self;                     ///< Name of this process.
    std::string_view m_region;                   ///< Its region.
    std::span<const std::string_view> m_regions; ///< Those with processes.
    const home_table* m_homes = nullptr;         ///< Of its region.
};

/// Returns this process's part of `total` operations of the workspace. The
/// parts of all processes that know the same members add up to `total` at most.
std::uint32_t own_credit(std::uint32_t total, std::string_view workspace,
                         const credit_holders& holders);
/// Returns true if the process may use its own credit.
bool may_use_own_credit(const cold_start& c, time_point now) noexcept;

/// Returns until when a statement waits for a cell leader's token that waits
/// until `send_deadline` otherwise, and whose answer is useful if it is sent by
/// `useful_until`.
time_point wait_for_leader_until(const cold_start& c, time_point send_deadline,
                                 time_point useful_until) noexcept;

/// Returns the time to the next token request after one that no cell leader
/// answered.
duration token_retry_after(const cold_start& c, time_point now) noexcept;

}

#endif
