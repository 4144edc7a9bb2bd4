#ifndef BLUEBELLSPOKE_SESSION_SESSION_FAILURES_HPP
#define BLUEBELLSPOKE_SESSION_SESSION_FAILURES_HPP

#include <exception>

#include <session/session_task_state.hpp>

namespace bluebellspoke
{

/// The statement that a connection to an endpoint runs, while something that
/// may throw an unexpected exception is done with it.
struct statement_at_risk
{
    session_ptr m_session; ///< Null if none waits for its answer.
    work_ptr m_work;
    std::size_t m_unsent = 0; ///< Bytes that its session had not been sent.
};

statement_at_risk note_statement(const link& k);
statement_at_risk note_statement(const home_link& h);

/// Drops a connection after an unexpected exception, as one that was lost.
/// Throws what that throws.
void drop_failed_link(session_task_state& t, link& k,
                      const statement_at_risk& risk, const std::exception& e);

/// Drops a connection to a home after an unexpected exception, as one that was
/// lost. Closes its session if that fails too, or if nothing else answers the
/// statement. Throws what the latter throws.
void drop_failed_home_link(session_task_state& t, home_link& h,
                           const statement_at_risk& risk,
                           const std::exception& e);

/// Calls the body, and drops the connection if it throws. The caller keeps the
/// connection's object alive.
template <class Body>
void guard_link(session_task_state& t, link& k, Body body)
{
    const statement_at_risk risk = note_statement(k);
    try
    {
        body();
    }
    catch (const std::exception& e)
    {
        drop_failed_link(t, k, risk, e);
    }
}

/// The same for a connection to a home.
template <class Body>
void guard_home_link(session_task_state& t, home_link& h, Body body)
{
    const statement_at_risk risk = note_statement(h);
    try
    {
        body();
    }
    catch (const std::exception& e)
    {
        drop_failed_home_link(t, h, risk, e);
    }
}

}

#endif
