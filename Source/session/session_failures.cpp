#include <session/session_failures.hpp>

#include <report/event.hpp>
#include <session/session_homes.hpp>

namespace bluebellspoke
{

namespace
{

// True if something still answers the statement: the connection or the queue
// in which it is, or its deadline.
bool has_owner(const statement_at_risk& risk)
{
    const work& w = *risk.m_work;
    if (risk.m_session->m_work != risk.m_work)
        return false;
    return w.m_link ? w.m_link->m_state != link_state::closed
                    : w.m_sent_at == time_point{};
}

bool is_answered(const statement_at_risk& risk)
{
    return risk.m_session->m_stream->unsent() > risk.m_unsent;
}

}

statement_at_risk note_statement(const link& k)
{
    statement_at_risk risk;
    risk.m_work = k.m_work;
    if (k.m_work)
        risk.m_session = k.m_work->m_session;
    if (risk.m_session)
        risk.m_unsent = risk.m_session->m_stream->unsent();
    return risk;
}

void drop_failed_link(session_task_state& t, link& k,
                      const statement_at_risk& risk, const std::exception& e)
{
    const bool was_open = k.m_state != link_state::closed;
    ++t.m_counts.m_links_failed;
    log_event(event_id::link_failed,
              {{"endpoint", k.m_endpoint_pool->m_endpoint.m_id},
               {"request", risk.m_work ? risk.m_work->m_id : std::string()},
               {"failure", e.what()}});
    if (was_open)
        fail_link(t, k, "task failure");
    // The exception may have come after the statement was taken from the
    // connection and before it was answered. Its session ends then, as its
    // caller would wait without end.
    if (!risk.m_session || risk.m_session->m_state == session_state::closed)
        return;
    if (!is_answered(risk) && !has_owner(risk))
        close_client(t, *risk.m_session, client_fault::task_failure);
}

statement_at_risk note_statement(const home_link& h)
{
    statement_at_risk risk;
    risk.m_session = h.m_session;
    risk.m_work = risk.m_session->m_work;
    risk.m_unsent = risk.m_session->m_stream->unsent();
    return risk;
}

void drop_failed_home_link(session_task_state& t, home_link& h,
                           const statement_at_risk& risk,
                           const std::exception& e)
{
    ++t.m_counts.m_home_links_failed;
    log_event(event_id::home_link_failed,
              {{"home", h.m_home},
               {"session", std::to_string(risk.m_session->m_number)},
               {"request", risk.m_work ? risk.m_work->m_id : std::string()},
               {"failure", e.what()}});
    session& s = *risk.m_session;
    if (s.m_state == session_state::closed)
        return;
    // A statement that was taken from the session, or from the connection when
    // that was closed, may be in no list that would answer it.
    bool may_be_unowned =
        risk.m_work &&
        (h.m_state == home_link_state::closed || s.m_work != risk.m_work);
    try
    {
        fail_home_link(t, h, "task failure");
    }
    catch (const std::exception& second)
    {
        log_event(event_id::session_failed,
                  {{"session", std::to_string(s.m_number)},
                   {"failure", second.what()}});
        may_be_unowned = true;
    }
    if (s.m_state != session_state::closed && may_be_unowned &&
        !is_answered(risk))
        close_client(t, s, client_fault::task_failure);
}

}
