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
    r.m_since = start;
    r.m_last_turn = start;
    r.m_turns = 0;
}

// The window ends at its last dequeue, not at the one that causes it to be
// closed. Otherwise a burst of dequeues could be split between two windows.
void close_window(service_rate& r)
{
    const duration length = r.m_last_turn - *r.m_since;
    if (length < least_rate_window || r.m_turns < least_turns)
        return;
    r.m_measured[r.m_next] = {r.m_turns / to_seconds(length), r.m_last_turn};
    r.m_next = (r.m_next + 1) % r.m_measured.size();
}

// `now > r.m_last_dequeue` keeps dequeues at the same time in one window.
bool is_complete(const service_rate& r, time_point now)
{
    return r.m_last_turn - *r.m_since >= rate_window &&
           r.m_turns >= least_turns && now > r.m_last_turn;
}

}

void begin_waiting(service_rate& r, time_point now)
{
    open_window(r, now);
}

void note_turn(service_rate& r, time_point now)
{
    if (!r.m_since)
        return;
    if (now - r.m_last_turn > held_up_bound)
    {
        close_window(r);
        open_window(r, now);
        return;
    }
    if (is_complete(r, now))
    {
        close_window(r);
        open_window(r, r.m_last_turn);
    }
    r.m_last_turn = now;
    ++r.m_turns;
}

void end_waiting(service_rate& r)
{
    if (!r.m_since)
        return;
    close_window(r);
    r.m_since.reset();
}

std::optional<double> rate_now(const service_rate& r, time_point now)
{
    std::optional<double> highest;
    for (const measured_rate& m : r.m_measured)
        if (m.m_rate > 0 && now - m.m_measured_at <= rate_memory)
            highest = std::max(highest.value_or(0), m.m_rate);
    return highest;
}

}
