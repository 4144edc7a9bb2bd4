#ifndef BLUEBELLSPOKE_DECIDE_QUEUE_ADMISSION_HPP
#define BLUEBELLSPOKE_DECIDE_QUEUE_ADMISSION_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include <decide/fair_queue.hpp>

namespace bluebellspoke
{

enum class queue_verdict : std::uint8_t
{
    admit,
    full,     ///< The workspace's queue is at its bound.
    too_late, ///< Its turn would come after its deadline.
};

/// What is known of an arrival before it is queued.
struct queue_arrival
{
    std::string_view m_workspace;
    double m_weight = 1;
    std::size_t m_waiting = 0; ///< Of the workspace, in all queues.
    std::size_t m_limit = 0;   ///< Most that may wait.
    duration m_left{};         ///< Until its deadline.
};

/// After enqueue(): keeps the rates that expected_wait() goes by.
void note_queued(fair_queue_hook& item, time_point now);
/// Before dequeue().
void note_turn(fair_queue_hook& item, time_point now);

/// Time until an arrival's turn, at the least; nothing when it is unknown.
std::optional<duration> expected_wait(const fair_queue& q,
                                      std::string_view workspace, double weight,
                                      time_point now);
/// Judges an arrival. Only its own workspace's backlog can have it refused.
queue_verdict judge_arrival(const fair_queue& q, const queue_arrival& arrival,
                            time_point now);

}

#endif
