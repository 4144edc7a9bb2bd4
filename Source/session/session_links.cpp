#include <session/session_task_state.hpp>

#include <algorithm>
#include <utility>

#include <decide/endpoint_choice.hpp>
#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

bool is_idle_for(const link& k, std::string_view workspace)
{
    return k.m_state == link_state::idle && !k.m_work &&
           k.m_workspace == workspace;
}

// Prefers a connection whose session values match already, then the one used
// last, which is the least likely to have been dropped.
link* best_idle_link(endpoint_pool& p, std::string_view workspace,
                     const session* s)
{
    link* best = nullptr;
    bool best_matches = false;
    for (link& k : p.m_links)
    {
        if (!is_idle_for(k, workspace))
            continue;
        const bool values_match = s == nullptr || k.m_values == s->m_values;
        if (best == nullptr || (values_match && !best_matches) ||
            (values_match == best_matches &&
             k.m_state_since > best->m_state_since))
        {
            best = &k;
            best_matches = values_match;
        }
    }
    return best;
}

link* oldest_idle_link(endpoint_pool& p)
{
    link* oldest = nullptr;
    for (link& k : p.m_links)
        if (k.m_state == link_state::idle && !k.m_work &&
            (oldest == nullptr || k.m_state_since < oldest->m_state_since))
            oldest = &k;
    return oldest;
}

bool lacks_descriptors(const session_task_state& t)
{
    return open_connections(t) >= t.m_clients.m_limits.m_all_connections;
}

void send_startup(session_task_state& t, link& k)
{
    std::string out;
    t.m_codec.m_write_startup(out, k.m_endpoint_pool->m_endpoint.m_service,
                              k.m_workspace,
                              k.m_endpoint_pool->m_endpoint.m_id);
    k.m_stream->write(out);
}

link_ptr open_link(session_task_state& t, endpoint_pool& p,
                   std::string_view workspace, std::string_view request)
{
    link_ptr k(new link);
    k->m_endpoint_pool = &p;
    k->m_workspace = workspace;
    k->m_state_since = boot_now();
    k->m_expected_replies.push_back(
        {expected_reply_kind::startup, k->m_state_since});
    link& opened = *k;
    try
    {
        k->m_stream = std::make_unique<line_stream>(
            t.m_loop, p.m_endpoint.m_address,
            line_stream_handlers{[&t, &opened]
                                 {
                                     read_link(t, opened);
                                 },
                                 [&t, &opened](stream_end_reason)
                                 {
                                     fail_link(t, opened,
                                               "ended by the endpoint");
                                 }});
    }
    catch (const loop_error& e)
    {
        log_event(event_id::endpoint_unreachable,
                  {{"endpoint", p.m_endpoint.m_id}, {"failure", e.what()}});
        avoid_endpoint(p, "dial failed");
        return {};
    }
    send_startup(t, *k);
    intrusive_ptr_add_ref(k.get()); // The list's reference, until it is closed.
    p.m_links.push_back(*k);
    ++p.m_link_count;
    ++t.m_counts.m_links_opened;
    log_connection(event_id::connection_opened, *k, "none idle", request);
    return k;
}

// Fails or retries work whose connection was lost. Only work that can't have
// had an effect is retried.
void handle_lost_work(session_task_state& t, const work_ptr& w, bool begun)
{
    if (!w->m_session)
    {
        w->auto_unlink_hook::unlink();
        return;
    }
    session& s = *w->m_session;
    if (s.m_transaction && begun)
        s.m_transaction->m_link = nullptr;
    const lost_statement lost = judge_lost_statement(*w, begun);
    if (lost.m_may_be_retried)
        retry_work(t, w, lost.m_fault, lost.m_detail);
    else
        fail_work(t, w, lost.m_fault, lost.m_detail);
}

}

lost_statement judge_lost_statement(const work& w, bool begun)
{
    const session& s = *w.m_session;
    constexpr std::string_view lost = "connection lost";
    const bool sent = w.m_sent_at != time_point{};
    const bool past_deadline = boot_now() >= w.m_deadline;
    const std::string_view detail = past_deadline ? "no answer in time" : lost;
    const bool in_transaction = s.m_transaction.has_value();
    // A statement that waits to be resent belongs to a transaction that has
    // already run statements; the lost connection rolls them back.
    const bool has_earlier_statements =
        in_transaction && begun && !w.m_starts_transaction;
    if (!sent && has_earlier_statements)
        return {session_fault::aborted, false, lost};
    if (!sent)
        return {session_fault::busy, true, lost};
    if (w.m_kind == statement_kind::commit)
    {
        const bool wrote = in_transaction && s.m_transaction->m_has_written;
        return {wrote ? session_fault::unknown_outcome : session_fault::failed,
                false, detail};
    }
    if (in_transaction)
        return {session_fault::aborted, false, detail};
    if (w.m_writes)
        return {past_deadline ? session_fault::timed_out
                              : session_fault::unknown_outcome,
                false, detail};
    return {past_deadline ? session_fault::timed_out : session_fault::failed,
            true, detail};
}

void apply_link_event(session_task_state& t, link& k, link_event event)
{
    t.m_charts.m_link.fire(k.m_state, event);
    k.m_state_since = boot_now();
}

void expect_reply(link& k, expected_reply_kind kind)
{
    k.m_expected_replies.push_back({kind, boot_now()});
}

bool has_idle_link(const endpoint_pool& p, std::string_view workspace)
{
    return std::ranges::any_of(p.m_links,
                               [&](const link& k)
                               {
                                   return is_idle_for(k, workspace);
                               });
}

bool can_obtain_link(const endpoint_pool& p, std::string_view workspace)
{
    if (p.m_link_count < p.m_budget.m_limit && boot_now() >= p.m_full_until)
        return true;
    return std::ranges::any_of(p.m_links,
                               [&](const link& k)
                               {
                                   return k.m_state == link_state::idle &&
                                          !k.m_work &&
                                          k.m_workspace != workspace;
                               });
}

link_ptr obtain_link(session_task_state& t, endpoint_pool& p,
                     std::string_view workspace, const session* s)
{
    if (link* k = best_idle_link(p, workspace, s))
        return link_ptr(k);
    if (p.m_link_count >= p.m_budget.m_limit || boot_now() < p.m_full_until ||
        lacks_descriptors(t))
    {
        link* const unused = oldest_idle_link(p);
        if (unused == nullptr)
            return {};
        close_link(t, *unused, "replaced");
    }
    const bool for_work = s != nullptr && s->m_work;
    return open_link(t, p, workspace,
                     for_work ? s->m_work->m_id : std::string_view());
}

void roll_back(session_task_state& t, link& k)
{
    if (k.m_state == link_state::closed)
        return;
    // A pending reply would be mistaken for the reply to the rollback.
    if (!k.m_expected_replies.empty())
        return close_link(t, k, "rolled back while it ran");
    std::string out;
    t.m_codec.m_write_rollback(out);
    // Expected first: a connection that doesn't get its reply is dropped.
    expect_reply(k, expected_reply_kind::rollback);
    apply_link_event(t, k, link_event::rollback_sent);
    k.m_stream->write(out);
}

void release_link(session_task_state& t, link& k)
{
    if (k.m_state != link_state::idle || k.m_work)
        return;
    endpoint_pool& p = *k.m_endpoint_pool;
    if (k.m_must_close || !p.m_is_listed || p.m_link_count > p.m_budget.m_limit)
        return close_link(t, k,
                          k.m_must_close ? "doubtful" : "beyond the limit");
    if (p.m_status_wanted)
    {
        p.m_status_wanted = false;
        return ask_status(t, k);
    }
    serve_waiting(t, *p.m_group);
}

void close_link(session_task_state& t, link& k, std::string_view cause)
{
    if (k.m_state == link_state::closed)
        return;
    log_connection(event_id::connection_closed, k, cause,
                   k.m_work ? k.m_work->m_id : std::string_view());
    const link_ptr keep_alive(&k, false); // Takes over the list's reference.
    endpoint_pool& p = *k.m_endpoint_pool;
    for (const expected_reply& e : k.m_expected_replies)
        if (e.m_kind == expected_reply_kind::statement)
            --p.m_statements_in_flight;
    k.m_expected_replies.clear();
    t.m_charts.m_link.fire(k.m_state, link_event::lost);
    k.auto_unlink_hook::unlink();
    --p.m_link_count;
    k.m_stream.reset();
    const work_ptr w = std::exchange(k.m_work, nullptr);
    if (!w)
        return;
    // The work still refers to the link: retry_work and fail_work read the
    // endpoint from it.
    handle_lost_work(t, w, k.m_in_transaction);
}

void fail_link(session_task_state& t, link& k, std::string_view cause)
{
    const link_ptr keep_alive(&k);
    if (k.m_state == link_state::connecting)
        record_refused_connection(t, k);
    // A session with an idle transaction here is told with its next statement.
    if (k.m_in_transaction && !k.m_work)
        for (session& s : t.m_sessions)
            if (s.m_transaction && s.m_transaction->m_link == &k)
            {
                s.m_transaction->m_link = nullptr;
                s.m_transaction->m_is_aborted = true;
            }
    close_link(t, k, cause);
}

void close_spare_links(session_task_state& t, endpoint_pool& p, time_point now)
{
    while (p.m_link_count > p.m_budget.m_retained)
    {
        link* const unused = oldest_idle_link(p);
        if (unused == nullptr ||
            now - unused->m_state_since < p.m_budget.m_idle_timeout)
            return;
        close_link(t, *unused, "unused");
    }
}

void check_links(session_task_state& t, time_point now)
{
    const bool no_more = lacks_descriptors(t);
    for (auto& [id, p] : t.m_endpoint_pools)
    {
        update_connection_budget(t, p, now);
        if (no_more)
            p.m_budget.m_limit = std::min(p.m_budget.m_limit, p.m_link_count);
        close_spare_links(t, p, now);
    }
    std::vector<link_ptr> overdue;
    for (auto& [id, p] : t.m_endpoint_pools)
        for (link& k : p.m_links)
        {
            const bool is_starting = k.m_state == link_state::connecting;
            const bool awaits_internal_reply =
                !k.m_work && !k.m_expected_replies.empty();
            if ((is_starting || awaits_internal_reply) &&
                now - k.m_state_since >= link_connect_timeout)
                overdue.emplace_back(&k);
        }
    for (const link_ptr& k : overdue)
    {
        if (k->m_state == link_state::closed)
            continue;
        record_overdue(*k->m_endpoint_pool);
        // An endpoint may be tried again after a slow startup: unlike
        // fail_link, close_link doesn't mark it to be avoided.
        if (k->m_state == link_state::connecting)
            close_link(t, *k, "overdue");
        else
            fail_link(t, *k, "overdue");
    }
}

}
