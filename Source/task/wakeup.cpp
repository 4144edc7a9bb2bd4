#include <task/wakeup.hpp>

#include <cstdint>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace bluebellspoke
{

wakeup::wakeup() : m_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (m_descriptor < 0)
        throw loop_error();
}

wakeup::~wakeup()
{
    m_event.reset();
    close(m_descriptor);
}

void wakeup::notify() noexcept
{
    // One write for many notifications keeps the system call off the sender's
    // path while the receiver is behind.
    if (m_pending.exchange(true, std::memory_order_acq_rel))
        return;
    const std::uint64_t one = 1;
    const ssize_t written = write(m_descriptor, &one, sizeof(one));
    static_cast<void>(written);
}

void wakeup::attach(loop& l, sigc::slot<void()> woken)
{
    m_woken = std::move(woken);
    m_event.reset(event_new(l.m_base.get(), m_descriptor, EV_READ | EV_PERSIST,
                            &wakeup::on_readable, this));
    if (!m_event)
        throw loop_error();
    event_add(m_event.get(), nullptr);
}

void wakeup::on_readable(evutil_socket_t, short, void* self)
{
    auto& w = *static_cast<wakeup*>(self);
    std::uint64_t count = 0;
    const ssize_t taken = read(w.m_descriptor, &count, sizeof(count));
    static_cast<void>(taken);
    // Cleared before the queue is read: a later sender then writes again.
    w.m_pending.store(false, std::memory_order_release);
    w.m_woken();
}

}
