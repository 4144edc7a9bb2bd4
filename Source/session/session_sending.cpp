#include <session/session_task_state.hpp>

#include <algorithm>

#include <session/session_failures.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

// A link's prepared statements are those of all its sessions, of any age.
bool has_too_much_prepared(const link& k)
{
    return !k.m_in_transaction && (k.m_prepared.size() >= max_session_names ||
                                   k.m_prepared_bytes >= max_kept_bytes);
}

bool needs_discard(const link& k, const session& s)
{
    return has_too_much_prepared(k) ||
           std::ranges::any_of(k.m_values,
                               [&](const auto& value)
                               {
                                   return !s.m_values.contains(value.first);
                               });
}

void send_missing_values(session_task_state& t, link& k, const session& s,
                         std::string& out)
{
    if (needs_discard(k, s))
    {
        t.m_codec.m_write_discard(out);
        expect_reply(k, expected_reply_kind::setup);
        k.m_values.clear();
        k.m_prepared.clear();
        k.m_prepared_bytes = 0;
    }
    for (const auto& [name, value] : s.m_values)
    {
        const auto current = k.m_values.find(name);
        if (current != k.m_values.end() && current->second == value)
            continue;
        t.m_codec.m_write_set(out, name, value);
        expect_reply(k, expected_reply_kind::setup);
        k.m_values.insert_or_assign(name, value);
    }
}

// Prepared statements are named after their content, so that sessions that use
// one name for different statements can share a connection.
std::string shared_name(const prepared_statement& p)
{
    return (p.m_writes ? "w_" : "r_") + p.m_shape;
}

void send_missing_prepared(session_task_state& t, link& k, const work& w,
                           std::string& out)
{
    if (!w.m_prepared || k.m_prepared.contains(*w.m_prepared))
        return;
    t.m_codec.m_write_prepare(out, shared_name(*w.m_prepared),
                              w.m_prepared->m_writes, w.m_prepared->m_shape);
    expect_reply(k, expected_reply_kind::setup);
    k.m_prepared.insert(*w.m_prepared);
    k.m_prepared_bytes += w.m_prepared->m_shape.size();
}

// Position that the endpoint's log must have reached for this read or
// transaction.
std::optional<log_position> required_position(const link& k, const work& w)
{
    const session& s = *w.m_session;
    const group_view& view = k.m_endpoint_pool->m_group->m_view;
    const site_route& route = *s.m_route;
    const bool reads_own_writes =
        route.m_consistency == read_consistency::own_writes;
    std::optional<log_position> floor;
    if (view.m_primary == k.m_endpoint_pool->m_endpoint.m_id)
        floor = newest_position(view);
    else
        floor = staleness_floor(view, w.m_arrived_at, route.m_staleness);
    return reads_own_writes ? session_floor(view, floor, s.m_commit_position)
                            : floor;
}

void send_begin(session_task_state& t, link& k, const work& w, std::string& out)
{
    const bool reads_only = w.m_session->m_transaction->m_is_read_only;
    t.m_codec.m_write_begin(out, required_position(k, w), reads_only);
    expect_reply(k, expected_reply_kind::begin);
}

}

void send_statement(session_task_state& t, link& k, work& w, std::string& out)
{
    std::optional<log_position> floor;
    const bool reads = w.m_kind == statement_kind::read ||
                       (w.m_kind == statement_kind::execute && !w.m_writes);
    if (reads && !w.m_session->m_transaction)
        floor = required_position(k, w);
    if (w.m_prepared)
        t.m_codec.m_write_execute(out, w.m_id, floor,
                                  shared_name(*w.m_prepared), w.m_arguments);
    else
        t.m_codec.m_write_query(out, w.m_id, floor, w.m_text);
    expect_reply(k, expected_reply_kind::statement);
    ++k.m_endpoint_pool->m_statements_in_flight;
    count_request(t, k, w, k.m_expected_replies.back());
    const time_point now = boot_now();
    w.m_sent_at = now;
    ++w.m_attempts;
    // A read outside a transaction may be retried elsewhere, so an attempt gets
    // only a part of its time; other statements have until their deadline.
    const bool is_retryable = reads && !w.m_session->m_transaction;
    const duration limit = w.m_deadline - w.m_received_at;
    w.m_attempt_deadline = is_retryable
                               ? now + std::chrono::duration_cast<duration>(
                                           limit * read_attempt_ratio)
                               : w.m_deadline;
    if (w.m_session->m_transaction && w.m_writes)
        w.m_session->m_transaction->m_has_written = true;
    count_sent(t, k, w, reads);
    log_sent(k, w, floor);
}

namespace
{

void write_work(session_task_state& t, link& k)
{
    work& w = *k.m_work;
    std::string out;
    const bool was_pinned = k.m_in_transaction;
    // The view of the group may have changed while the link was connecting.
    if (!was_pinned && !meets_consistency(w, *k.m_endpoint_pool))
    {
        const work_ptr keep_alive = k.m_work;
        retry_work(t, keep_alive, session_fault::busy, "endpoint unproved");
        return release_link(t, k);
    }
    send_missing_values(t, k, *w.m_session, out);
    send_missing_prepared(t, k, w, out);
    apply_link_event(t, k, link_event::sent);
    if (w.m_session->m_transaction && !was_pinned)
        send_begin(t, k, w, out);
    else
        send_statement(t, k, w, out);
    k.m_stream->write(out);
}

}

// Guarded on its own, as other connections' callbacks and timers send too: a
// connection of which the values or expected replies were recorded, and not
// sent, must not be used again.
void send_work(session_task_state& t, link& k)
{
    const link_ptr keep_alive(&k);
    guard_link(t, k,
               [&]
               {
                   write_work(t, k);
               });
}

}
