#ifndef BLUEBELLSPOKE_SHARES_FAKE_FLEET_HPP
#define BLUEBELLSPOKE_SHARES_FAKE_FLEET_HPP

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include <decide/connection_ledger.hpp>
#include <decide/loan_request_round.hpp>
#include <decide/rate_share.hpp>

namespace bluebellspoke::shares
{

/// Faults of the network and the platform.
struct fake_faults
{
    double m_loss = 0;                    ///< Probability for each message.
    std::chrono::milliseconds m_delay{2}; ///< Maximum, one way.
    bool m_platform_up = true;
};

/// A connection for statements, as the endpoint sees it.
struct fake_session
{
    std::size_t m_owner = 0;
    std::uint64_t m_incarnation = 0;
    time_point m_last_contact_at{};
    std::optional<time_point> m_busy_until;
    std::optional<time_point> m_closes_at; ///< When the close arrives.
};

/// The connections that all daemons have open to one endpoint.
struct fake_endpoint
{
    std::uint32_t m_limit = 0; ///< 0: no connections are simulated.
    std::vector<fake_session> m_sessions;
    std::uint32_t m_max_open = 0; ///< With monitors and an order.
    std::size_t m_aborted = 0;    ///< Transactions cut by a close.
    std::size_t m_served = 0;
};

/// A daemon's connection pool for the endpoint.
struct fake_pool
{
    connection_ledger m_ledger;
    std::vector<time_point> m_closed_at; ///< Within close_delay.
    bool m_monitor = false;
    time_point m_monitor_contact_at{};
    std::size_t m_waiting = 0; ///< Transactions without a connection.
    loan_request_round m_round;
};

/// One daemon's state for the division of limits, without sockets.
struct fake_daemon
{
    fleet_member m_self;
    bool m_alive = true;
    bool m_listed = true;
    time_point m_paused_until{};
    time_point m_isolated_until{}; ///< From peers and platform.
    time_point m_started_at{};
    fleet_epoch m_epoch;
    time_point m_confirmed_at{};
    bool m_platform_answers = true;
    std::map<std::string, member_observation> m_observations;
    std::map<std::string, peer_report> m_witnesses;
    std::uint64_t m_applied = 0;
    epoch_settling m_settling;
    rate_share m_share;
    loan_request_round m_round;
    std::deque<time_point> m_waiting;   ///< Arrivals that wait for a loan.
    bool m_is_first_incarnation = true; ///< No earlier process of it.
    bool m_joined = false;              ///< It was in an epoch.
    fake_pool m_pool;
};

/// Simulation of daemons that share one workspace's rate, on a logical clock.
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
    /// Reference for the limit: a bucket with the whole rate and burst.
    rate_bucket m_limit;
    std::size_t m_admitted = 0;
    std::size_t m_refused = 0;
    std::size_t m_over_limit = 0; ///< Admissions beyond m_limit.
    std::uint32_t m_max_held = 0; ///< Units, of all daemons.
    std::uint64_t m_next_incarnation = 1;
    fake_endpoint m_endpoint;
};

inline constexpr std::chrono::milliseconds fake_step{5};

/// Sends a request to another daemon and handles its answer; either message may
/// be lost.
using request_handler = std::function<loan_answer(fake_fleet&, fake_daemon&)>;
using answer_handler = std::function<void(
    fake_fleet&, fake_daemon&, const loan_answer&, time_point asked_at)>;
void send_request(fake_fleet& f, std::size_t from, std::size_t to,
                  request_handler handle_request, answer_handler handle_answer);
/// True while the process exists and isn't paused.
bool runs(const fake_fleet& f, const fake_daemon& d);

/// Makes the daemons share an endpoint with this limit.
void share_endpoint(fake_fleet& f, std::uint32_t limit);
/// Simulates one step of a daemon's pool.
void step_pool(fake_fleet& f, std::size_t daemon);
/// Simulates one step of the endpoint and counts its open connections.
void step_endpoint(fake_fleet& f);
/// Sends a transaction to the daemon; it waits until it gets a connection.
void offer_transaction(fake_fleet& f, std::size_t daemon);
connection_usage usage_of(const fake_fleet& f, std::size_t daemon);

/// Advances the simulation by fake_step.
void step(fake_fleet& f);
/// Sends one statement to a daemon; it may wait for a loan.
void offer_statement(fake_fleet& f, std::size_t daemon);
/// Ends the process and starts another one with the same name and address.
void restart(fake_fleet& f, std::size_t daemon);
void pause(fake_fleet& f, std::size_t daemon, duration length);
void isolate(fake_fleet& f, std::size_t daemon, duration length);
/// Removes a daemon from the platform's list and isolates it while it keeps
/// running, and starts a daemon on another VM.
void replace(fake_fleet& f, std::size_t daemon);
/// Injects random faults: pauses, isolation, restarts, replacements, platform
/// outages, lost and late messages. `replacement_chance` is the probability of
/// a replacement.
void inject_faults(fake_fleet& f, double replacement_chance);
/// Returns how many units all daemons together may use now.
std::uint32_t held_by_all(fake_fleet& f);

}

#endif
