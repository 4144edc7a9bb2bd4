#include <session/session_task_state.hpp>

#include <algorithm>
#include <utility>

#include <decide/endpoint_choice.hpp>
#include <report/event.hpp>
#include <session/session_failures.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

void finish_startup(session_task_state& t, link& k, const expected_reply& e)
{
    if (!e.m_failed)
    {
        duration& pause = k.m_endpoint_pool->m_full_pause;
        pause = pause_after_success(pause);
        apply_link_event(t, k, link_event::connected);
        if (k.m_work)
            return send_work(t, k);
        return release_link(t, k);
    }
    if (e.m_fault == session_fault::too_many)
        record_full(t, *k.m_endpoint_pool);
    else
        avoid_endpoint(*k.m_endpoint_pool, to_string(e.m_fault));
    close_link(t, k, "refused");
}

// True if the endpoint refused the statement before running any part of it, so
// that a retry is safe.
bool has_not_run(session_fault fault)
{
    return fault == session_fault::busy || fault == session_fault::lagging ||
           fault == session_fault::readonly ||
           fault == session_fault::no_statement ||
           fault == session_fault::misrouted ||
           fault == session_fault::too_many;
}

void record_fault(session_task_state& t, link& k, session_fault fault)
{
    endpoint_pool& p = *k.m_endpoint_pool;
    const bool was_primary = p.m_group->m_view.m_primary == p.m_endpoint.m_id;
    // A known primary that reports that it is read-only, or whose log ends
    // before a position that it had reached, is no longer the primary.
    if (was_primary &&
        (fault == session_fault::readonly || fault == session_fault::lagging))
    {
        invalidate_primary(p.m_group->m_view, p.m_endpoint.m_id, boot_now());
        log_primary_change(t, *p.m_group);
    }
    if (fault == session_fault::busy)
    {
        record_busy_refusal(t, p);
        p.m_busy_until = boot_now() + busy_endpoint_pause;
    }
    // The missing log entries arrive within about the interval between position
    // samples.
    constexpr std::chrono::milliseconds lag_retry_delay{150};
    if (!was_primary && fault == session_fault::lagging)
        p.m_lags_until = boot_now() + lag_retry_delay;
    if (fault == session_fault::no_statement)
    {
        k.m_prepared.clear();
        k.m_prepared_bytes = 0;
    }
}

void finish_begin(session_task_state& t, link& k, const expected_reply& e)
{
    const work_ptr w = k.m_work;
    if (!w || !w->m_session || !w->m_session->m_transaction)
        return close_link(t, k, "caller left");
    if (e.m_failed)
    {
        record_fault(t, k, e.m_fault);
        retry_work(t, w, e.m_fault, "begin");
        apply_link_event(t, k, link_event::answered);
        return release_link(t, k);
    }
    k.m_in_transaction = true;
    w->m_session->m_transaction->m_link = &k;
    std::string out;
    send_statement(t, k, *w, out);
    k.m_stream->write(out);
}

void record_own_commit(session& s, const work& w,
                       const std::optional<log_position>& position)
{
    const bool is_single_write = w.m_writes && !s.m_transaction;
    const bool is_writing_commit = w.m_kind == statement_kind::commit &&
                                   s.m_transaction &&
                                   s.m_transaction->m_has_written;
    if ((is_single_write || is_writing_commit) && position)
        s.m_commit_position =
            std::max(s.m_commit_position.value_or(log_position{}), *position);
}

// True if the endpoint was too busy for a statement of an open transaction. The
// transaction stays open, so the same statement is sent again.
bool may_resend(const work& w, const expected_reply& e,
                transaction_status status)
{
    return e.m_fault == session_fault::busy &&
           status == transaction_status::open && boot_now() < w.m_deadline;
}

void schedule_resend(session_task_state& t, link& k, work& w)
{
    record_busy_refusal(t, *k.m_endpoint_pool);
    w.m_answer.clear();
    w.m_sent_at = {};
    w.m_resend_at = boot_now() + busy_endpoint_pause;
    apply_link_event(t, k, link_event::pinned);
}

// Finishes a statement whose caller disconnected while it ran.
void finish_abandoned_statement(session_task_state& t, link& k)
{
    if (const work_ptr w = std::exchange(k.m_work, nullptr))
    {
        w->auto_unlink_hook::unlink();
        w->m_link = nullptr;
    }
    if (k.m_in_transaction)
        return close_link(t, k, "caller left");
    apply_link_event(t, k, link_event::answered);
    release_link(t, k);
}

void finish_failed_statement(session_task_state& t, link& k,
                             const expected_reply& e, transaction_status status)
{
    const work_ptr w = k.m_work;
    session& s = *w->m_session;
    const bool is_commit = w->m_kind == statement_kind::commit;
    record_fault(t, k, e.m_fault);
    if (k.m_in_transaction)
        s.m_transaction->m_link = nullptr;
    // A failed commit may have left the transaction open.
    if (!k.m_in_transaction ||
        (is_commit && status == transaction_status::idle))
    {
        k.m_in_transaction = false;
        apply_link_event(t, k, link_event::answered);
    }
    const link_ptr keep_alive(&k);
    const bool needs_rollback = k.m_in_transaction;
    k.m_work = nullptr;
    const bool may_move = !s.m_transaction || w->m_starts_transaction;
    if (has_not_run(e.m_fault) && may_move && !is_commit)
        retry_work(t, w, e.m_fault, "endpoint");
    else
        fail_work(t, w, e.m_fault, "endpoint");
    if (needs_rollback)
        return roll_back(t, k);
    release_link(t, k);
}

// Zero if no lease is in force.
duration lease_left(const group_view& view, time_point now)
{
    return std::max(duration::zero(), view.m_lease_until - now);
}

// Tells the caller that the outcome of its commit is unknown: another endpoint,
// which may lack the commit, may have been promoted before it was acknowledged.
void fail_unproved_commit(session_task_state& t, const work_ptr& w,
                          const std::optional<log_position>& position)
{
    ++t.m_counts.m_unproven_acknowledgements;
    log_unproven(*w, position);
    session& s = *w->m_session;
    // The transaction has ended at the endpoint: there is none to roll back.
    if (s.m_transaction)
        s.m_transaction->m_link = nullptr;
    fail_work(t, w, session_fault::unknown_outcome, "acknowledgement unproven");
}

void finish_served_statement(session_task_state& t, link& k,
                             const expected_reply& e,
                             const endpoint_reply& ready)
{
    const work_ptr w = k.m_work;
    const session_ptr s = w->m_session;
    const bool is_commit = w->m_kind == statement_kind::commit;
    const bool wrote = w->m_writes || (is_commit && s->m_transaction &&
                                       s->m_transaction->m_has_written);
    const bool is_written = wrote && (is_commit || !k.m_in_transaction);
    endpoint_pool& p = *k.m_endpoint_pool;
    // Taken before the acknowledgement itself changes the view.
    if (is_written)
        w->m_acknowledged =
            acknowledged_commit{ready.m_position, p.m_group->m_view.m_term,
                                lease_left(p.m_group->m_view, boot_now())};
    if (ready.m_position && is_written)
    {
        record_commit(p.m_group->m_view, p.m_endpoint.m_id, *ready.m_position,
                      e.m_requested_at);
        time_point& newest = p.m_group->m_acknowledged_commit_sent_at;
        newest = std::max(newest, e.m_requested_at);
    }
    record_own_commit(*s, *w, ready.m_position);
    const link_ptr keep_alive(&k);
    if (k.m_in_transaction && !is_commit)
    {
        apply_link_event(t, k, link_event::pinned);
        return complete_work(t, w);
    }
    k.m_in_transaction = false;
    k.m_must_close =
        k.m_must_close || ready.m_state != transaction_status::idle;
    apply_link_event(t, k, link_event::answered);
    if (is_written &&
        !is_commit_proved(p.m_group->m_view, ready.m_position, boot_now()))
        fail_unproved_commit(t, w, ready.m_position);
    else
        complete_work(t, w);
    if (k.m_state == link_state::idle && !k.m_work)
        release_link(t, k);
}

void finish_statement(session_task_state& t, link& k, const expected_reply& e,
                      const endpoint_reply& ready)
{
    endpoint_pool& p = *k.m_endpoint_pool;
    const time_point now = boot_now();
    // An endpoint that refuses at once isn't a fast one.
    if (!e.m_failed || !has_not_run(e.m_fault))
    {
        p.m_latency_ms = smooth_latency(
            p.m_latency_ms,
            std::chrono::duration<double, std::milli>(now - e.m_requested_at)
                .count());
        p.m_responded_at = now;
    }
    if (e.m_failed && has_not_run(e.m_fault))
        take_back_request(t, k, e);
    if (!k.m_work || !k.m_work->m_session)
        return finish_abandoned_statement(t, k);
    if (!e.m_failed)
        return finish_served_statement(t, k, e, ready);
    if (k.m_in_transaction && may_resend(*k.m_work, e, ready.m_state))
        return schedule_resend(t, k, *k.m_work);
    finish_failed_statement(t, k, e, ready.m_state);
}

void finish_reply(session_task_state& t, link& k, const endpoint_reply& ready)
{
    const expected_reply e = std::move(k.m_expected_replies.front());
    k.m_expected_replies.pop_front();
    if (e.m_kind == expected_reply_kind::statement)
        --k.m_endpoint_pool->m_statements_in_flight;
    record_contact(*k.m_endpoint_pool, e.m_requested_at, ready.m_position);
    switch (e.m_kind)
    {
    case expected_reply_kind::startup:
        return finish_startup(t, k, e);
    case expected_reply_kind::setup:
        if (e.m_failed)
            k.m_must_close = true;
        return;
    case expected_reply_kind::begin:
        return finish_begin(t, k, e);
    case expected_reply_kind::statement:
        return finish_statement(t, k, e, ready);
    case expected_reply_kind::rollback:
        k.m_in_transaction = false;
        if (e.m_failed || ready.m_state != transaction_status::idle)
            return close_link(t, k, "not rolled back");
        apply_link_event(t, k, link_event::answered);
        return release_link(t, k);
    case expected_reply_kind::status:
        if (k.m_state == link_state::running && !k.m_work)
            apply_link_event(t, k, link_event::answered);
        handle_status(t, k, e);
        if (k.m_state == link_state::idle && !k.m_work)
            release_link(t, k);
        return;
    }
}

void process_reply(session_task_state& t, link& k, std::string_view line)
{
    const endpoint_reply r = t.m_codec.m_read_endpoint(line);
    if (k.m_expected_replies.empty() ||
        r.m_kind == endpoint_reply_kind::malformed)
    {
        log_event(event_id::endpoint_unreadable,
                  {{"endpoint", k.m_endpoint_pool->m_endpoint.m_id}});
        return fail_link(t, k, "unreadable");
    }
    expected_reply& e = k.m_expected_replies.front();
    const bool is_statement_reply =
        e.m_kind == expected_reply_kind::statement && k.m_work;
    switch (r.m_kind)
    {
    case endpoint_reply_kind::row:
        if (e.m_kind == expected_reply_kind::status)
            e.m_status_row = r.m_row;
        [[fallthrough]];
    case endpoint_reply_kind::complete:
        if (is_statement_reply)
            k.m_work->m_answer.append(line).append("\r\n");
        return;
    case endpoint_reply_kind::error:
        e.m_failed = true;
        e.m_fault = r.m_fault;
        // The error that refuses a startup is the endpoint's last message.
        if (e.m_kind == expected_reply_kind::startup)
            finish_reply(t, k, r);
        return;
    case endpoint_reply_kind::ready:
        return finish_reply(t, k, r);
    case endpoint_reply_kind::malformed:
        return;
    }
}

}

void read_link(session_task_state& t, link& k)
{
    const link_ptr keep_alive(&k);
    bool has_more = true;
    while (has_more && k.m_state != link_state::closed)
        guard_link(t, k,
                   [&]
                   {
                       const auto line = k.m_stream->next_line();
                       has_more = line.has_value();
                       if (line)
                           process_reply(t, k, *line);
                   });
}

}
