#ifndef BLUEBELLSPOKE_QUEUE_FAKE_POOL_HPP
#define BLUEBELLSPOKE_QUEUE_FAKE_POOL_HPP

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <decide/queue_admission.hpp>

namespace bluebellspoke::queue_simulation
{

using namespace std::chrono_literals;

/// Requests of one workspace, which arrive as a Poisson process.
struct fake_load
{
    std::string m_workspace;
    double m_weight = 1;
    double m_rate = 0; ///< Arrivals per second.
    duration m_from{};
    duration m_until = 1h;
    duration m_phase = 1h; ///< Length of each sending phase and each pause.
};

/// Parameters of a simulation.
struct fake_plan
{
    std::vector<fake_load> m_loads;
    std::size_t m_slots = 5;
    duration m_service = 20ms;
    double m_jitter = 0.5; ///< Largest relative deviation from m_service.
    duration m_limit = 2s; ///< Longest time in the queue.
    std::size_t m_queue_limit = 10'000;
    duration m_length = 10s;
    /// No request can leave the queue between these times, as in a failover.
    duration m_stall_from{};
    duration m_stall_until{};
};

/// Requests of one workspace, by outcome.
struct fake_counts
{
    unsigned m_sent = 0;
    unsigned m_served = 0;
    unsigned m_too_late = 0; ///< Refused by the expected wait.
    unsigned m_full = 0;     ///< Refused by the queue limit.
    unsigned m_expired = 0;  ///< Reached its deadline in the queue.
    /// Of m_too_late: a slot was idle before the request's deadline.
    unsigned m_idle = 0;
    /// Of m_too_late: a request of another workspace was served before the
    /// deadline although this workspace was due first.
    unsigned m_passed_over = 0;
};

using fake_result = std::map<std::string, fake_counts>;

/// Simulates a pool with a logical clock. To find unjustified refusals, it
/// follows each request that was refused as too late for as long as it could
/// still end in time, and counts those whose workspace leaves a turn unused
/// while the load goes on.
fake_result simulate(const fake_plan& plan, unsigned seed);

}

#endif
