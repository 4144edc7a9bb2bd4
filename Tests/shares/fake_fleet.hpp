#ifndef BLUEBELLSPOKE_SHARES_FAKE_FLEET_HPP
#define BLUEBELLSPOKE_SHARES_FAKE_FLEET_HPP

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include <decide/ask_round.hpp>
#include <decide/connection_book.hpp>
#include <decide/rate_share.hpp>

namespace bluebellspoke::shares
{

/// What the network and the platform do to the daemons.
struct fake_faults
{
    double m_loss = 0;                    ///< Probability for each message.
    std::chrono::milliseconds m_delay{2}; ///< One way, at most.
    bool m_platform_up = true;
};

/// A connection for statements, as the endpoint sees it.
struct fake_session
{
    std::size_t m_owner = 0;
    std::uint64_t m_incarnation = 0;
    time_point m_heard_at{};
    std::optional<time_point> m_busy_until;
    std::optional<time_point> m_closes_at; ///< The close is on its way.
};

/// What all daemons together have open at one endpoint.
struct fake_endpoint
{
    std::uint32_t m_limit = 0; ///< 0: daemons share no connections.
    std::vector<fake_session> m_sessions;
    std::uint32_t m_most_open = 0; ///< Monitors and an order included.
    std::size_t m_cut = 0;         ///< Transactions closed under way.
    std::size_t m_served = 0;
};

/// What a daemon does with the endpoint.
struct fake_pool
{
    connection_book m_book;
    std::vector<time_point> m_closed_at; ///< Lately.
    bool m_monitor = false;
    time_point m_monitor_heard_at{};
    std::size_t m_waiting = 0; ///< Transactions that found no connection.
    ask_round m_round;
};

/// One daemon's decisions on shares, without sockets.
struct fake_daemon
{
    fleet_member m_self;
    bool m_alive = true;
    bool m_listed = true;
    time_point m_paused_until{};
    time_point m_cut_until{}; ///< From the others and from the platform.
    time_point m_started_at{};
    fleet_epoch m_epoch;
    time_point m_confirmed_at{};
    bool m_platform_answers = true;
    std::map<std::string, member_sight> m_sights;
    std::map<std::string, peer_witness> m_witnesses;
    std::uint64_t m_applied = 0;
    settling m_settling;
    rate_share m_share;
    ask_round m_round;
    std::deque<time_point> m_waiting; ///< Arrivals that wait for a loan.
    bool m_new_name = true;           ///< No process before it was a member.
    bool m_joined = false;            ///< An epoch has named this process.
    fake_pool m_pool;
};

/// Daemons on a logical clock that share one workspace's rate.
struct fake_fleet
{
    fake_fleet(std::size_t daemons, double rate, double burst, unsigned seed);

    std::mt19937 m_random;
    double m_rate;
    double m_burst;
    fake_faults m_faults;
    time_point m_now = time_point(std::chrono::hours(1));
    fleet_epoch m_platform_epoch;
    std::vector<fake_daemon> m_daemons;
    std::multimap<time_point, std::function<void()>> m_events;
    /// The limit itself: a bucket of the whole rate and burst.
    rate_bucket m_limit;
    std::size_t m_admitted = 0;
    std::size_t m_refused = 0;
    std::size_t m_over_limit = 0;  ///< Admissions that the limit forbids.
    std::uint32_t m_most_held = 0; ///< Units, by all daemons together.
    std::uint64_t m_next_incarnation = 1;
    fake_endpoint m_endpoint;
};

inline constexpr std::chrono::milliseconds fake_step{5};

/// Asks another daemon and takes its answer, if both get through.
using fake_question = std::function<loan_answer(fake_fleet&, fake_daemon&)>;
using fake_answer = std::function<void(
    fake_fleet&, fake_daemon&, const loan_answer&, time_point asked_at)>;
void ask_other(fake_fleet& f, std::size_t from, std::size_t to,
               fake_question question, fake_answer take);
/// True while the process is there and not paused.
bool runs(const fake_fleet& f, const fake_daemon& d);

// fake_connections.cpp
/// Gives the daemons an endpoint to share.
void share_endpoint(fake_fleet& f, std::uint32_t limit);
/// One step of a daemon's pool.
void tend_pool(fake_fleet& f, std::size_t daemon);
/// One step of the endpoint, and the count of what is open there.
void tend_endpoint(fake_fleet& f);
/// A transaction for the daemon; it waits until it has a connection.
void offer_transaction(fake_fleet& f, std::size_t daemon);
connection_use use_of(const fake_fleet& f, std::size_t daemon);

/// Moves time on by one step.
void step(fake_fleet& f);
/// Offers one statement to a daemon; it may wait for a loan.
void offer(fake_fleet& f, std::size_t daemon);
/// The process ends and another one starts at the same address.
void restart(fake_fleet& f, std::size_t daemon);
void pause(fake_fleet& f, std::size_t daemon, duration length);
void cut(fake_fleet& f, std::size_t daemon, duration length);
/// Another VM takes the place of one that is cut off and runs on.
void replace(fake_fleet& f, std::size_t daemon);
/// Pauses, cuts, restarts, replaces, loses and delays by chance, for the
/// second that follows. `replacements` is the chance of a replacement.
void hurt(fake_fleet& f, double replacements);
/// Units that all daemons together may use now.
std::uint32_t held_by_all(fake_fleet& f);

}

#endif
