#ifndef BLUEBELLSPOKE_TASK_MAILBOX_HPP
#define BLUEBELLSPOKE_TASK_MAILBOX_HPP

#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

#include <task/loop.hpp>
#include <task/wakeup.hpp>

namespace bluebellspoke
{

/// A bounded queue into one task, and the event that wakes it.
///
/// When it is full, try_post() says so and the sender refuses the work with a
/// typed error. Replies and control messages use post(): each is the answer
/// to, or as rare as, something already bounded elsewhere, so the excess over
/// the bound is at most what the sender had admitted.
template <class Message>
class mailbox
{
public:
    explicit mailbox(std::size_t capacity) : m_capacity(capacity) {}

    /// Takes new work. Returns false, and leaves `m` alone, when full.
    bool try_post(Message&& m)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_queue.size() >= m_capacity)
                return false;
            m_queue.push_back(std::move(m));
        }
        m_wakeup.notify();
        return true;
    }

    /// Takes a reply or a control message, which is never dropped.
    void post(Message&& m)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_queue.push_back(std::move(m));
        }
        m_wakeup.notify();
    }

    /// Delivers to `handler` in the loop's thread until the loop ends.
    template <class Handler>
    void attach(loop& l, Handler handler)
    {
        m_wakeup.attach(l,
                        [this, handler]
                        {
                            {
                                const std::lock_guard lock(m_mutex);
                                m_batch.swap(m_queue);
                            }
                            for (Message& m : m_batch)
                                handler(m);
                            m_batch.clear();
                        });
    }

private:
    std::size_t m_capacity;
    std::mutex m_mutex;
    std::vector<Message> m_queue;
    std::vector<Message> m_batch;
    wakeup m_wakeup;
};

}

#endif
