#include <session/session_homes.hpp>

#include <algorithm>
#include <utility>

#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

// Refuses a statement for which no work has been created.
void refuse_statement(session_task_state& t, session& s, std::string_view id,
                      session_fault fault, std::string_view detail)
{
    log_refused(t, s, id, fault, detail);
    answer_fault(t, s, fault, detail);
}

void store_session_value(session_task_state& t, session& s, std::string_view id,
                         const session_statement& q)
{
    const auto found = s.m_values.find(q.m_name);
    const bool replaces = found != s.m_values.end();
    if (!keep_bytes(t, s, s.m_values.size(), q.m_name.size() + q.m_value.size(),
                    replaces ? q.m_name.size() + found->second.size() : 0))
        return refuse_statement(t, s, id, session_fault::busy, "values");
    s.m_values.insert_or_assign(std::string(q.m_name), std::string(q.m_value));
    answer_complete(t, s);
}

void prepare(session_task_state& t, session& s, std::string_view id,
             const session_statement& q)
{
    const auto found = s.m_prepared.find(q.m_name);
    const bool replaces = found != s.m_prepared.end();
    if (!keep_bytes(
            t, s, s.m_prepared.size(), q.m_name.size() + q.m_value.size(),
            replaces ? q.m_name.size() + found->second.m_shape.size() : 0))
        return refuse_statement(t, s, id, session_fault::busy,
                                "prepared statements");
    s.m_prepared.insert_or_assign(
        std::string(q.m_name),
        prepared_statement{q.m_kind == statement_kind::prepare_write,
                           std::string(q.m_value)});
    answer_complete(t, s);
}

void deallocate(session_task_state& t, session& s, std::string_view id,
                const session_statement& q)
{
    const auto found = s.m_prepared.find(q.m_name);
    if (found == s.m_prepared.end())
        return refuse_statement(t, s, id, session_fault::no_statement,
                                "deallocate");
    s.m_use.m_kept -= found->first.size() + found->second.m_shape.size();
    s.m_prepared.erase(found);
    answer_complete(t, s);
}

void start_transaction(session_task_state& t, session& s, std::string_view id,
                       bool reads_only)
{
    if (s.m_state != session_state::idle)
        return refuse_statement(t, s, id, session_fault::malformed, "begin");
    if (const auto fault = begin_operation(t, s))
        return refuse_statement(t, s, id, *fault, "begin");
    const time_point now = boot_now();
    s.m_transaction.emplace();
    s.m_transaction->m_is_read_only = reads_only;
    s.m_transaction->m_began_at = now;
    s.m_transaction->m_idle_since = now;
    t.m_charts.m_session.fire(s.m_state, session_event::transaction_begun);
    answer_complete(t, s);
}

void end_without_endpoint(session_task_state& t, session& s)
{
    abort_transaction(t, s);
    t.m_charts.m_session.fire(s.m_state, session_event::transaction_finished);
}

void roll_back(session_task_state& t, session& s)
{
    if (s.m_state != session_state::idle)
        end_without_endpoint(t, s);
    answer_complete(t, s);
}

void start_statement(session_task_state& t, session& s, std::string_view id,
                     const session_statement& q)
{
    if (s.m_state == session_state::idle)
        if (const auto fault = begin_operation(t, s))
            return refuse_statement(t, s, id, *fault, "statement");
    if (s.m_transaction && s.m_transaction->m_is_aborted)
        return refuse_statement(t, s, id, session_fault::aborted,
                                "connection lost");
    if (q.m_kind == statement_kind::execute && !s.m_prepared.contains(q.m_name))
        return refuse_statement(t, s, id, session_fault::no_statement,
                                "execute");
    const time_point now = boot_now();
    const work_ptr w = make_statement_work(s, id, q);
    w->m_draw = std::uniform_real_distribution<double>(0, 1)(t.m_random);
    set_deadlines(t, *w, s, now);
    s.m_work = w;
    if (!pass_on_statement(t, w))
        serve_here(t, w);
}

}

std::optional<session_fault> bind_route(const session_task_state& t, session& s)
{
    const auto route = t.m_config->m_routes.find(s.m_database);
    if (route == t.m_config->m_routes.end())
        return session_fault::no_database;
    s.m_config = t.m_config;
    s.m_route = &route->second;
    s.m_workspace.clear();
    return std::nullopt;
}

std::optional<session_fault> begin_operation(const session_task_state& t,
                                             session& s)
{
    if (const auto fault = bind_route(t, s))
        return fault;
    const auto key = t.m_config->m_keys.find(s.m_key);
    if (key != t.m_config->m_keys.end())
        s.m_workspace = key->second;
    else if (!s.m_route->m_public)
        return session_fault::unauthorized;
    return std::nullopt;
}

void set_deadlines(const session_task_state& t, work& w, const session& s,
                   time_point now)
{
    const site_route& r = *s.m_route;
    w.m_received_at = now;
    w.m_arrived_at = s.m_transaction ? s.m_transaction->m_began_at : now;
    w.m_deadline = now + r.m_statement_timeout;
    const auto wait = std::chrono::duration_cast<duration>(
        r.m_latency_objective * max_send_wait_ratio);
    w.m_send_deadline = now + std::min(wait, r.m_statement_timeout);
    set_turn(t, w, s);
}

work_ptr make_statement_work(session& s, std::string_view id,
                             const session_statement& q)
{
    work_ptr w(new work);
    w->m_session = &s;
    w->m_id = id;
    w->m_text = q.m_text;
    w->m_kind = q.m_kind;
    w->m_writes = q.m_kind == statement_kind::write;
    if (q.m_kind == statement_kind::execute)
    {
        const prepared_statement& p = s.m_prepared.find(q.m_name)->second;
        w->m_prepared = p;
        w->m_prepared_name = q.m_name;
        w->m_arguments = q.m_arguments;
        w->m_writes = p.m_writes;
    }
    const bool in_write_transaction =
        s.m_transaction && !s.m_transaction->m_is_read_only;
    w->m_needs_primary = w->m_writes || in_write_transaction ||
                         s.m_route->m_consistency == read_consistency::primary;
    w->m_starts_transaction = s.m_transaction && !s.m_transaction->m_link;
    return w;
}

void serve_here(session_task_state& t, const work_ptr& w)
{
    const session& s = *w->m_session;
    t.m_pending_work.push_back(*w);
    const bool new_operation = !s.m_transaction || w->m_starts_transaction;
    if (new_operation && !s.m_workspace.empty())
    {
        switch (admit_operation(t, s.m_workspace, w))
        {
        case rate_decision::refused:
            count_refusal(t, *w, refusal_cause::rate);
            return fail_work(t, w, session_fault::busy, "rate");
        case rate_decision::waits:
            return;
        case rate_decision::admitted:
            break;
        }
    }
    dispatch(t, w);
}

void handle_statement(session_task_state& t, session& s, std::string_view id,
                      const session_statement& q)
{
    const bool ends_transaction = q.m_kind == statement_kind::rollback ||
                                  q.m_kind == statement_kind::commit;
    if (s.m_state == session_state::in_failed_transaction && !ends_transaction)
        return refuse_statement(t, s, id, session_fault::malformed,
                                "transaction failed");
    switch (q.m_kind)
    {
    case statement_kind::set:
        return store_session_value(t, s, id, q);
    case statement_kind::prepare_read:
    case statement_kind::prepare_write:
        return prepare(t, s, id, q);
    case statement_kind::deallocate:
        return deallocate(t, s, id, q);
    case statement_kind::begin:
        return start_transaction(t, s, id, false);
    case statement_kind::begin_read:
        return start_transaction(t, s, id, true);
    case statement_kind::rollback:
        return roll_back(t, s);
    case statement_kind::commit:
        if (s.m_state == session_state::idle)
            return refuse_statement(t, s, id, session_fault::malformed,
                                    "commit");
        if (s.m_state == session_state::in_failed_transaction)
        {
            end_without_endpoint(t, s);
            return refuse_statement(t, s, id, session_fault::aborted,
                                    "rolled back");
        }
        return start_statement(t, s, id, q);
    case statement_kind::read:
    case statement_kind::write:
    case statement_kind::execute:
        return start_statement(t, s, id, q);
    case statement_kind::unknown:
        break;
    }
    refuse_statement(t, s, id, session_fault::malformed, "statement");
}

void abort_transaction(session_task_state& t, session& s)
{
    if (!s.m_transaction)
        return;
    const link_ptr k = std::exchange(s.m_transaction->m_link, nullptr);
    s.m_transaction.reset();
    if (k)
        roll_back(t, *k);
    roll_back_at_home(t, s);
}

}
