#include <session/session_homes.hpp>

#include <event2/listener.h>

#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

// The load balancer sends one probe a second, and new connections arrive until
// two of its probes have failed.
constexpr std::chrono::milliseconds balancer_detection_time{2600};
// Open transactions may finish within the first half of the grace period.
constexpr int transaction_grace_divisor = 2;

// A part of a line is the beginning of a statement.
bool is_idle(const session& s)
{
    return (s.m_state == session_state::idle ||
            s.m_state == session_state::starting) &&
           !s.m_work && s.m_stream->unread() == 0;
}

bool closes_idle_sessions(const session_task_state& t, time_point now)
{
    return t.m_stopping_since != time_point{} &&
           now - t.m_stopping_since >= balancer_detection_time;
}

// A relayed session moves back to the process that accepted it, so it doesn't
// wait for the load balancer.
bool closes_when_idle(const session_task_state& t, const session& s,
                      time_point now)
{
    return s.m_is_relayed ? t.m_stopping_since != time_point{}
                          : closes_idle_sessions(t, now);
}

void finish_session(session_task_state& t, session& s)
{
    if (s.m_is_closing)
        return;
    if (s.m_is_relayed)
        return release_relayed_session(t, s, "process ends");
    s.m_is_closing = true;
    s.m_stream->finish();
}

}

void begin_stop(session_task_state& t)
{
    if (t.m_stopping_since == time_point{})
        t.m_stopping_since = boot_now();
    t.m_session_listener.reset();
}

// The caller learns of the close together with its answer, before it sends
// another statement.
void close_if_stopping(session_task_state& t, session& s)
{
    if (is_idle(s) && closes_when_idle(t, s, boot_now()))
        finish_session(t, s);
}

void tick_stop(session_task_state& t, time_point now)
{
    if (t.m_stopping_since == time_point{} || t.m_stop_reported)
        return;
    for (session& s : t.m_sessions)
        if (s.m_is_relayed && is_idle(s))
            finish_session(t, s);
    if (!closes_idle_sessions(t, now))
        return;
    t.m_listener.reset();
    const bool transactions_expired =
        now - t.m_stopping_since >=
        t.m_settings.m_stop_grace / transaction_grace_divisor;
    std::vector<session_ptr> sessions;
    for (session& s : t.m_sessions)
        sessions.emplace_back(&s);
    for (const session_ptr& s : sessions)
    {
        if (is_idle(*s))
            finish_session(t, *s);
        else if (transactions_expired && s->m_transaction && !s->m_work &&
                 !s->m_transaction->m_is_aborted)
        {
            // The caller's next statement is answered with "aborted".
            s->m_transaction->m_is_aborted = true;
            if (s->m_transaction->m_link)
                roll_back(t, *s->m_transaction->m_link);
            s->m_transaction->m_link = nullptr;
            roll_back_at_home(t, *s);
        }
    }
    bool busy = false;
    for (const session& s : t.m_sessions)
        busy = busy || !s.m_is_closing;
    if (busy)
        return;
    t.m_stop_reported = true;
    t.m_mailboxes.m_life.post(stop_done{"session"});
}

}
