#ifndef BLUEBELLSPOKE_TASK_LOOP_HPP
#define BLUEBELLSPOKE_TASK_LOOP_HPP

#include <chrono>
#include <exception>
#include <memory>

#include <event2/event.h>
#include <sigc++/sigc++.h>

namespace bluebellspoke
{

/// The event library could not give a loop, an event or a wake-up descriptor.
class loop_error : public std::exception
{
public:
    const char* what() const noexcept override;
};

struct event_base_deleter
{
    void operator()(event_base* base) const noexcept;
};
struct event_deleter
{
    void operator()(event* e) const noexcept;
};
using event_base_ptr = std::unique_ptr<event_base, event_base_deleter>;
using event_ptr = std::unique_ptr<event, event_deleter>;

/// The event loop that one task owns; no other thread touches it.
struct loop
{
    event_base_ptr m_base;
};

/// Makes the process ignore SIGPIPE too. Throws loop_error.
loop make_loop();
/// Runs until stop(); sleeps in the kernel while nothing happens.
void run(loop& l);
/// Ends run() after the current callbacks. Call from the loop's own thread.
void stop(loop& l) noexcept;

/// As the event library takes times.
timeval to_timeval(std::chrono::microseconds time) noexcept;

/// A timer on one loop; calls its slot in the loop's thread.
class timer
{
public:
    timer(loop& l, sigc::slot<void()> elapsed);
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /// Calls once after `delay`; a later call replaces an earlier one.
    void start_once(std::chrono::microseconds delay);
    /// Calls again and again, `period` apart.
    void start_periodic(std::chrono::microseconds period);
    void cancel() noexcept;
    /// When the loop wakes up late, this timer's slot is called before those of
    /// all sockets and ordinary timers. Call before the timer is started.
    void run_before_others() noexcept;

private:
    static void on_event(evutil_socket_t socket, short what, void* self);
    void arm(std::chrono::microseconds delay);

    sigc::slot<void()> m_elapsed;
    std::chrono::microseconds m_period{0};
    event_ptr m_event;
};

}

#endif
