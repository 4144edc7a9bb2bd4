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

namespace bluebellspoke::queue_stories
{

using namespace std::chrono_literals;

/// What one workspace sends.
struct fake_load
{
    std::string m_workspace;
    double m_weight = 1;
    double m_rate = 0; ///< Arrivals a second.
    duration m_from{};
    duration m_until = 1h;
    duration m_on = 1h; ///< Sends so long, then pauses as long.
};

struct fake_plan
{
    std::vector<fake_load> m_loads;
    std::size_t m_slots = 5;
    duration m_service = 20ms;
    double m_jitter = 0.5; ///< Of the service time, either way.
    duration m_limit = 2s; ///< From arrival to hand-over.
    std::size_t m_queue_limit = 10'000;
    duration m_length = 10s;
    duration m_stall_from{}; ///< Nothing can be handed over.
    duration m_stall_until{};
};

struct fake_counts
{
    unsigned m_sent = 0;
    unsigned m_served = 0;
    unsigned m_too_late = 0; ///< Refused on arrival.
    unsigned m_full = 0;     ///< Refused on arrival.
    unsigned m_expired = 0;
    unsigned m_idle = 0; ///< Of m_too_late: a slot stood idle in time.
    /// Of m_too_late: another workspace had a turn in time that was its own.
    unsigned m_passed_over = 0;
};

using fake_result = std::map<std::string, fake_counts>;

/// Plays a plan on a logical clock. After each refusal on arrival it watches,
/// as long as it could still be answered in time, whether its workspace leaves
/// a turn unused while the load goes on.
fake_result play(const fake_plan& plan, unsigned seed);

}

#endif
