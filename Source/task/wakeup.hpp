#ifndef BLUEBELLSPOKE_TASK_WAKEUP_HPP
#define BLUEBELLSPOKE_TASK_WAKEUP_HPP

#include <atomic>

#include <task/loop.hpp>

namespace bluebellspoke
{

/// Wakes one loop from any thread; several notifications may become one.
class wakeup
{
public:
    /// Throws loop_error.
    wakeup();
    ~wakeup();
    wakeup(const wakeup&) = delete;
    wakeup& operator=(const wakeup&) = delete;

    void notify() noexcept;
    void attach(loop& l, sigc::slot<void()> woken);

private:
    static void on_readable(evutil_socket_t socket, short what, void* self);

    int m_descriptor;
    std::atomic<bool> m_pending{false};
    sigc::slot<void()> m_woken;
    event_ptr m_event;
};

}

#endif
