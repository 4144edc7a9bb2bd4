#ifndef BLUEBELLSPOKE_DECIDE_QUEUE_ADMISSION_HPP
#define BLUEBELLSPOKE_DECIDE_QUEUE_ADMISSION_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include <decide/fair_queue.hpp>

namespace bluebellspoke
{

/// Whether a request may enter the queue.
enum class queue_decision : std::uint8_t
{
    admit,
    full,                 ///< The workspace has reached its queue limit.
    deadline_unreachable, ///< It would still be queued at its deadline.
};

/// A request that is about to be queued.
struct queue_arrival
{
    std::string_view m_workspace;
    double m_weight = 1;
    std::size_t m_waiting = 0; ///< Requests of the workspace in all queues.
    std::size_t m_limit = 0;   ///< Upper limit of m_waiting.
    duration m_time_left{};    ///< Until the deadline of the request.
};

/// Updates the service rates that expected_wait() uses. Call it after
/// enqueue().
void record_enqueue(fair_queue_hook& item, time_point now);
/// Updates the service rates that expected_wait() uses. Call it before
/// dequeue().
void record_dequeue(fair_queue_hook& item, time_point now);

/// A low estimate of the time that a new request of the workspace would be
/// queued. Returns nothing when a rate is unknown, when the workspace has no
/// backlog or when its weight has changed.
std::optional<duration> expected_wait(const fair_queue& q,
                                      std::string_view workspace, double weight,
                                      time_point now);
/// Decides whether a request is queued or refused. Only a backlog of its own
/// workspace can cause a refusal.
queue_decision decide_admission(const fair_queue& q,
                                const queue_arrival& arrival, time_point now);

}

#endif
