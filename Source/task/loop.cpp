#include <task/loop.hpp>

#include <csignal>
#include <utility>

namespace bluebellspoke
{

namespace
{

struct event_config_deleter
{
    void operator()(event_config* config) const noexcept
    {
        event_config_free(config);
    }
};
using event_config_ptr = std::unique_ptr<event_config, event_config_deleter>;

}

const char* loop_error::what() const noexcept
{
    return "event loop unavailable";
}

void event_base_deleter::operator()(event_base* base) const noexcept
{
    event_base_free(base);
}

void event_deleter::operator()(event* e) const noexcept
{
    event_free(e);
}

loop make_loop()
{
    // A peer that goes away is an error of its socket, not the process's end.
    std::signal(SIGPIPE, SIG_IGN);
    const event_config_ptr config(event_config_new());
    if (!config)
        throw loop_error();
    // A write event comes and goes with each answer; collected until the next
    // wait, most of these changes cancel out before they reach the kernel.
    event_config_set_flag(config.get(), EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    event_base_ptr base(event_base_new_with_config(config.get()));
    // Events have the second of two priorities unless it is set.
    if (!base || event_base_priority_init(base.get(), 2) != 0)
        throw loop_error();
    return {std::move(base)};
}

void run(loop& l)
{
    event_base_loop(l.m_base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void stop(loop& l) noexcept
{
    event_base_loopbreak(l.m_base.get());
}

timer::timer(loop& l, sigc::slot<void()> elapsed)
    : m_elapsed(std::move(elapsed)),
      m_event(event_new(l.m_base.get(), -1, 0, &timer::on_event, this))
{
    if (!m_event)
        throw loop_error();
}

void timer::start_once(std::chrono::microseconds delay)
{
    m_period = std::chrono::microseconds::zero();
    arm(delay);
}

void timer::start_periodic(std::chrono::microseconds period)
{
    m_period = period;
    arm(period);
}

void timer::run_before_others() noexcept
{
    event_priority_set(m_event.get(), 0);
}

void timer::cancel() noexcept
{
    m_period = std::chrono::microseconds::zero();
    event_del(m_event.get());
}

timeval to_timeval(std::chrono::microseconds time) noexcept
{
    constexpr std::int64_t us_per_second = 1'000'000;
    timeval t{};
    t.tv_sec = time.count() / us_per_second;
    t.tv_usec = time.count() % us_per_second;
    return t;
}

void timer::arm(std::chrono::microseconds delay)
{
    const timeval t = to_timeval(delay);
    event_add(m_event.get(), &t);
}

void timer::on_event(evutil_socket_t, short, void* self)
{
    auto& t = *static_cast<timer*>(self);
    if (t.m_period.count() > 0)
        t.arm(t.m_period);
    // The slot may destroy the timer, so it runs from a copy and comes last.
    const sigc::slot<void()> elapsed = t.m_elapsed;
    elapsed();
}

}
