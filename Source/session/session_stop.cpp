#include <session/session_task_state.hpp>

#include <event2/listener.h>

#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

// New connections come until the balancer has missed two of its probes, which
// it sends once a second.
constexpr std::chrono::milliseconds balancer_notice{2600};
// Open transactions have the first half of the grace to end.
constexpr int transaction_part = 2;

bool is_at_rest(const session& s)
{
    return (s.m_state == session_state::idle ||
            s.m_state == session_state::starting) &&
           !s.m_work;
}

void end_session(session& s)
{
    if (s.m_finishing)
        return;
    s.m_finishing = true;
    s.m_stream->finish();
}

}

void begin_stop(session_task_state& t)
{
    if (t.m_stopping_since == time_point{})
        t.m_stopping_since = boot_now();
}

void tick_stop(session_task_state& t, time_point now)
{
    if (t.m_stopping_since == time_point{} || t.m_stop_told)
        return;
    const duration passed = now - t.m_stopping_since;
    if (passed < balancer_notice)
        return;
    t.m_listener.reset();
    const bool cut = passed >= t.m_settings.m_stop_grace / transaction_part;
    std::vector<session_ptr> sessions;
    for (session& s : t.m_sessions)
        sessions.emplace_back(&s);
    for (const session_ptr& s : sessions)
    {
        if (is_at_rest(*s))
            end_session(*s);
        else if (cut && s->m_transaction && !s->m_work &&
                 !s->m_transaction->m_lost)
        {
            // The caller hears "aborted" with its next statement.
            s->m_transaction->m_lost = true;
            if (s->m_transaction->m_link)
                roll_back(t, *s->m_transaction->m_link);
            s->m_transaction->m_link = nullptr;
        }
    }
    bool busy = false;
    for (const session& s : t.m_sessions)
        busy = busy || !s.m_finishing;
    if (busy)
        return;
    t.m_stop_told = true;
    t.m_boxes.m_life.post(stop_done{"session"});
}

}
