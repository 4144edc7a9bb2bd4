#ifndef BLUEBELLSPOKE_SHARES_FAKE_FLEET_HPP
#define BLUEBELLSPOKE_SHARES_FAKE_FLEET_HPP

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

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
    time_point m_next_round{};
    duration m_round_pause{};
    std::deque<time_point> m_waiting; ///< Arrivals that wait for a loan.
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
};

inline constexpr std::chrono::milliseconds fake_step{5};

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
/// Units that all daemons together may use now.
std::uint32_t held_by_all(fake_fleet& f);

}

#endif
