#include <decide/service_rate.hpp>

#include <algorithm>

namespace bluebellspoke
{

namespace
{

double to_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

void open_window(service_rate& r, time_point start)
{
    r.m_window_start = start;
    r.m_last_dequeue = start;
    r.m_dequeues = 0;
}

// The window ends at its last dequeue, not at the one that causes it to be
// closed. Otherwise a burst of dequeues could be split between two windows.
void close_window(service_rate& r)
{
    const duration length = r.m_last_dequeue - *r.m_window_start;
    if (length < min_rate_window || r.m_dequeues < min_window_dequeues)
        return;
    r.m_samples[r.m_next_sample] = {r.m_dequeues / to_seconds(length),
                                    r.m_last_dequeue};
    r.m_next_sample = (r.m_next_sample + 1) % r.m_samples.size();
}

// `now > r.m_last_dequeue` keeps dequeues at the same time in one window.
bool is_complete(const service_rate& r, time_point now)
{
    return r.m_last_dequeue - *r.m_window_start >= rate_window &&
           r.m_dequeues >= min_window_dequeues && now > r.m_last_dequeue;
}

}

void begin_backlogged_period(service_rate& r, time_point now)
{
    open_window(r, now);
}

void record_dequeue(service_rate& r, time_point now)
{
    if (!r.m_window_start)
        return;
    if (now - r.m_last_dequeue > stall_threshold)
    {
        close_window(r);
        open_window(r, now);
        return;
    }
    if (is_complete(r, now))
    {
        close_window(r);
        open_window(r, r.m_last_dequeue);
    }
    r.m_last_dequeue = now;
    ++r.m_dequeues;
}

void end_backlogged_period(service_rate& r)
{
    if (!r.m_window_start)
        return;
    close_window(r);
    r.m_window_start.reset();
}

std::optional<double> current_rate(const service_rate& r, time_point now)
{
    std::optional<double> highest;
    for (const rate_sample& sample : r.m_samples)
        if (sample.m_rate > 0 && now - sample.m_measured_at <= rate_sample_ttl)
            highest = std::max(highest.value_or(0), sample.m_rate);
    return highest;
}

}
