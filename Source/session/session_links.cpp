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

// Fewer values to set first, then the one used last: it is the least likely
// to have been dropped.
link* best_idle(endpoint_port& p, std::string_view workspace, const session* s)
{
    link* best = nullptr;
    bool best_fits = false;
    for (link& k : p.m_links)
    {
        if (!is_idle_for(k, workspace))
            continue;
        const bool fits = s == nullptr || k.m_values == s->m_values;
        if (best == nullptr || (fits && !best_fits) ||
            (fits == best_fits && k.m_since > best->m_since))
        {
            best = &k;
            best_fits = fits;
        }
    }
    return best;
}

link* oldest_idle(endpoint_port& p)
{
    link* oldest = nullptr;
    for (link& k : p.m_links)
        if (k.m_state == link_state::idle && !k.m_work &&
            (oldest == nullptr || k.m_since < oldest->m_since))
            oldest = &k;
    return oldest;
}

void move_to(session_task_state& t, link& k, link_event event)
{
    t.m_charts.m_link.fire(k.m_state, event);
    k.m_since = boot_now();
}

void greet(session_task_state& t, link& k)
{
    std::string out;
    t.m_codec.m_write_startup(out, k.m_port->m_endpoint.m_service,
                              k.m_workspace, k.m_port->m_endpoint.m_id);
    k.m_stream->write(out);
}

link_ptr dial(session_task_state& t, endpoint_port& p,
              std::string_view workspace)
{
    link_ptr k(new link);
    k->m_port = &p;
    k->m_workspace = workspace;
    k->m_since = boot_now();
    k->m_expected.push_back({link_answer::greeting, k->m_since});
    link& there = *k;
    try
    {
        k->m_stream = std::make_unique<line_stream>(
            t.m_loop, p.m_endpoint.m_address,
            line_stream_handlers{{},
                                 [&t, &there]
                                 {
                                     read_link(t, there);
                                 },
                                 [&t, &there](stream_end)
                                 {
                                     lose_link(t, there);
                                 }});
    }
    catch (const loop_error& e)
    {
        log_event(event_id::endpoint_unreachable,
                  {{"endpoint", p.m_endpoint.m_id}, {"failure", e.what()}});
        avoid_port(t, p, "dial failed");
        return {};
    }
    greet(t, *k);
    intrusive_ptr_add_ref(k.get()); // The list's count, until it is closed.
    p.m_links.push_back(*k);
    ++p.m_link_count;
    ++t.m_counts.m_links_opened;
    return k;
}

void expect(link& k, link_answer kind)
{
    k.m_expected.push_back({kind, boot_now()});
}

bool needs_discard(const link& k, const session& s)
{
    return std::ranges::any_of(k.m_values,
                               [&](const auto& value)
                               {
                                   return !s.m_values.contains(value.first);
                               });
}

void match_values(session_task_state& t, link& k, const session& s,
                  std::string& out)
{
    if (needs_discard(k, s))
    {
        t.m_codec.m_write_discard(out);
        expect(k, link_answer::setup);
        k.m_values.clear();
        k.m_prepared.clear();
    }
    for (const auto& [name, value] : s.m_values)
    {
        const auto held = k.m_values.find(name);
        if (held != k.m_values.end() && held->second == value)
            continue;
        t.m_codec.m_write_set(out, name, value);
        expect(k, link_answer::setup);
        k.m_values.insert_or_assign(name, value);
    }
}

// Prepared statements go by what they are, so sessions whose names collide
// share a connection.
std::string shared_name(const prepared_statement& p)
{
    return (p.m_writes ? "w_" : "r_") + p.m_shape;
}

void match_prepared(session_task_state& t, link& k, const work& w,
                    std::string& out)
{
    if (!w.m_prepared || k.m_prepared.contains(*w.m_prepared))
        return;
    t.m_codec.m_write_prepare(out, shared_name(*w.m_prepared),
                              w.m_prepared->m_writes, w.m_prepared->m_shape);
    expect(k, link_answer::setup);
    k.m_prepared.insert(*w.m_prepared);
}

// What the endpoint's log must hold for this read or transaction.
std::optional<log_position> floor_of(const link& k, const work& w)
{
    const session& s = *w.m_session;
    const group_view& view = k.m_port->m_group->m_view;
    const site_route& route = *s.m_route;
    const bool own = route.m_consistency == read_consistency::own_writes;
    std::optional<log_position> floor;
    if (view.m_primary == k.m_port->m_endpoint.m_id)
        floor = newest_position(view);
    else
        floor = staleness_floor(view, w.m_arrived_at, route.m_staleness);
    return own ? session_floor(view, floor, s.m_own) : floor;
}

void send_begin(session_task_state& t, link& k, const work& w, std::string& out)
{
    const bool reads_only = w.m_session->m_transaction->m_reads_only;
    t.m_codec.m_write_begin(out, floor_of(k, w), reads_only);
    expect(k, link_answer::begin);
}

void send_statement(session_task_state& t, link& k, work& w, std::string& out)
{
    std::optional<log_position> floor;
    const bool reads = w.m_kind == statement_kind::read ||
                       (w.m_kind == statement_kind::execute && !w.m_writes);
    if (reads && !w.m_session->m_transaction)
        floor = floor_of(k, w);
    if (w.m_prepared)
        t.m_codec.m_write_execute(out, w.m_id, floor,
                                  shared_name(*w.m_prepared), w.m_rest);
    else
        t.m_codec.m_write_query(out, w.m_id, floor, w.m_text);
    expect(k, link_answer::statement);
    const time_point now = boot_now();
    w.m_sent_at = now;
    ++w.m_attempts;
    // A read may run again elsewhere; what writes waits for its own end.
    const bool again = reads && !w.m_session->m_transaction;
    const duration limit = w.m_deadline - w.m_asked_at;
    w.m_attempt_until =
        again ? now + std::chrono::duration_cast<duration>(limit * attempt_part)
              : w.m_deadline;
    if (w.m_session->m_transaction && w.m_writes)
        w.m_session->m_transaction->m_wrote = true;
    ++k.m_port->m_running;
    observe(t.m_counts.m_wait_time, now - w.m_asked_at);
    if (reads)
        ++(k.m_port->m_group->m_view.m_primary == k.m_port->m_endpoint.m_id
               ? t.m_counts.m_primary_reads
               : t.m_counts.m_replica_reads);
}

void finish_greeting(session_task_state& t, link& k, const expected_answer& e)
{
    if (!e.m_failed)
    {
        k.m_port->m_avoid_pause = {};
        move_to(t, k, link_event::greeted);
        if (k.m_work)
            return send_work(t, k);
        return release_link(t, k);
    }
    if (e.m_fault == session_fault::too_many)
        k.m_port->m_full_until = boot_now() + full_pause;
    else
        avoid_port(t, *k.m_port, to_string(e.m_fault));
    close_link(t, k);
}

// The endpoint ran nothing of it: another try can do no harm.
bool has_not_run(session_fault fault)
{
    return fault == session_fault::busy || fault == session_fault::lagging ||
           fault == session_fault::readonly ||
           fault == session_fault::no_statement ||
           fault == session_fault::misrouted ||
           fault == session_fault::too_many;
}

void note_fault(session_task_state& t, link& k, session_fault fault)
{
    endpoint_port& p = *k.m_port;
    const bool led = p.m_group->m_view.m_primary == p.m_endpoint.m_id;
    // A primary that says so, or whose log is shorter than it was, leads no
    // more.
    if (led &&
        (fault == session_fault::readonly || fault == session_fault::lagging))
    {
        doubt_primary(p.m_group->m_view, p.m_endpoint.m_id);
        note_primary(t, *p.m_group);
    }
    if (fault == session_fault::busy)
        p.m_busy_until = boot_now() + busy_pause;
    // What it lacks comes in about the time that the samples are apart.
    constexpr std::chrono::milliseconds lag_pause{150};
    if (!led && fault == session_fault::lagging)
        p.m_lags_until = boot_now() + lag_pause;
    if (fault == session_fault::no_statement)
        k.m_prepared.clear();
}

void finish_begin(session_task_state& t, link& k, const expected_answer& e)
{
    const work_ptr w = k.m_work;
    if (!w || !w->m_session || !w->m_session->m_transaction)
        return close_link(t, k);
    if (e.m_failed)
    {
        note_fault(t, k, e.m_fault);
        retry_work(t, w, e.m_fault, "begin");
        move_to(t, k, link_event::answered);
        return release_link(t, k);
    }
    k.m_begun = true;
    w->m_session->m_transaction->m_link = &k;
    std::string out;
    send_statement(t, k, *w, out);
    k.m_stream->write(out);
}

void note_own_commit(session& s, const work& w,
                     const std::optional<log_position>& position)
{
    const bool single = w.m_writes && !s.m_transaction;
    const bool commit = w.m_kind == statement_kind::commit && s.m_transaction &&
                        s.m_transaction->m_wrote;
    if ((single || commit) && position)
        s.m_own = std::max(s.m_own.value_or(log_position{}), *position);
}

// A statement inside a transaction that the endpoint had no room for: the
// transaction goes on, so the same statement is sent again.
bool may_resend(const work& w, const expected_answer& e,
                transaction_status status)
{
    return e.m_fault == session_fault::busy &&
           status == transaction_status::open && boot_now() < w.m_deadline;
}

void resend_later(session_task_state& t, link& k, work& w)
{
    w.m_answer.clear();
    w.m_sent_at = {};
    w.m_resend_at = boot_now() + busy_pause;
    move_to(t, k, link_event::kept);
}

void finish_statement(session_task_state& t, link& k, const expected_answer& e,
                      const endpoint_reply& ready)
{
    const std::optional<log_position> position = ready.m_position;
    const work_ptr w = k.m_work;
    endpoint_port& p = *k.m_port;
    --p.m_running;
    const double ms =
        std::chrono::duration<double, std::milli>(boot_now() - e.m_asked_at)
            .count();
    p.m_answer_ms = smooth_answer(p.m_answer_ms, ms);
    p.m_answered_at = boot_now();
    if (!w || !w->m_session)
    {
        // The caller left while it ran.
        if (w)
        {
            w->auto_unlink_hook::unlink();
            w->m_link = nullptr;
            k.m_work = nullptr;
        }
        if (k.m_begun)
            return close_link(t, k);
        move_to(t, k, link_event::answered);
        return release_link(t, k);
    }
    session& s = *w->m_session;
    const session_ptr keep(&s);
    const bool in_transaction = k.m_begun;
    const bool ended = w->m_kind == statement_kind::commit;
    if (e.m_failed && in_transaction && may_resend(*w, e, ready.m_state))
        return resend_later(t, k, *w);
    if (e.m_failed)
    {
        note_fault(t, k, e.m_fault);
        const bool movable = !in_transaction || w->m_first_of_transaction;
        const bool again = has_not_run(e.m_fault) && movable && !ended;
        if (in_transaction)
        {
            s.m_transaction->m_link = nullptr;
            // A commit that failed may have left the transaction open.
            if (ended && ready.m_state == transaction_status::idle)
            {
                k.m_begun = false;
                move_to(t, k, link_event::answered);
            }
        }
        else
            move_to(t, k, link_event::answered);
        const link_ptr hold(&k);
        const bool to_roll_back = k.m_begun;
        k.m_work = nullptr;
        if (again)
            retry_work(t, w, e.m_fault, "endpoint");
        else
            fail_work(t, w, e.m_fault, "endpoint");
        if (to_roll_back)
            return roll_back(t, k);
        return release_link(t, k);
    }
    const bool wrote =
        w->m_writes || (ended && s.m_transaction && s.m_transaction->m_wrote);
    if (position && wrote && (ended || !in_transaction))
        note_commit(p.m_group->m_view, p.m_endpoint.m_id, *position,
                    e.m_asked_at);
    note_own_commit(s, *w, position);
    const link_ptr hold(&k);
    if (in_transaction && !ended)
    {
        move_to(t, k, link_event::kept);
        return complete_work(t, w);
    }
    k.m_begun = false;
    k.m_doubtful = k.m_doubtful || ready.m_state != transaction_status::idle;
    move_to(t, k, link_event::answered);
    complete_work(t, w);
    if (k.m_state == link_state::idle && !k.m_work)
        release_link(t, k);
}

void finish_answer(session_task_state& t, link& k, const endpoint_reply& ready)
{
    const expected_answer e = std::move(k.m_expected.front());
    k.m_expected.pop_front();
    k.m_last_answer = boot_now();
    take_sign(t, *k.m_port, e.m_asked_at, ready.m_position);
    switch (e.m_kind)
    {
    case link_answer::greeting:
        return finish_greeting(t, k, e);
    case link_answer::setup:
        if (e.m_failed)
            k.m_doubtful = true;
        return;
    case link_answer::begin:
        return finish_begin(t, k, e);
    case link_answer::statement:
        return finish_statement(t, k, e, ready);
    case link_answer::rollback:
        k.m_begun = false;
        if (e.m_failed || ready.m_state != transaction_status::idle)
            return close_link(t, k);
        move_to(t, k, link_event::answered);
        return release_link(t, k);
    case link_answer::status:
        if (k.m_state == link_state::running && !k.m_work)
            move_to(t, k, link_event::answered);
        take_status(t, k, e);
        if (k.m_state == link_state::idle && !k.m_work)
            release_link(t, k);
        return;
    }
}

void take_reply(session_task_state& t, link& k, std::string_view line)
{
    const endpoint_reply r = t.m_codec.m_read_endpoint(line);
    if (k.m_expected.empty() || r.m_kind == endpoint_reply_kind::malformed)
    {
        log_event(event_id::endpoint_unreadable,
                  {{"endpoint", k.m_port->m_endpoint.m_id}});
        return lose_link(t, k);
    }
    expected_answer& e = k.m_expected.front();
    const bool of_statement = e.m_kind == link_answer::statement && k.m_work;
    switch (r.m_kind)
    {
    case endpoint_reply_kind::row:
        if (e.m_kind == link_answer::status)
            e.m_row = r.m_row;
        [[fallthrough]];
    case endpoint_reply_kind::complete:
        if (of_statement)
            k.m_work->m_answer.append(line).append("\r\n");
        return;
    case endpoint_reply_kind::error:
        e.m_failed = true;
        e.m_fault = r.m_fault;
        // A greeting that is refused is the last that is said.
        if (e.m_kind == link_answer::greeting)
            finish_answer(t, k, r);
        return;
    case endpoint_reply_kind::ready:
        return finish_answer(t, k, r);
    case endpoint_reply_kind::malformed:
        return;
    }
}

// Work whose connection is gone: what can't have had an effect may run again.
void lose_work(session_task_state& t, const work_ptr& w, bool begun)
{
    const bool sent = w->m_sent_at != time_point{};
    if (!w->m_session)
    {
        w->auto_unlink_hook::unlink();
        return;
    }
    session& s = *w->m_session;
    const bool late = boot_now() >= w->m_deadline;
    const bool in_transaction = s.m_transaction.has_value();
    if (in_transaction && begun)
        s.m_transaction->m_link = nullptr;
    if (!sent)
        return retry_work(t, w, session_fault::busy, "connection lost");
    if (w->m_kind == statement_kind::commit)
    {
        const bool wrote = s.m_transaction && s.m_transaction->m_wrote;
        return fail_work(t, w,
                         wrote ? session_fault::unknown_outcome
                               : session_fault::failed,
                         late ? "no answer in time" : "connection lost");
    }
    if (in_transaction)
        return fail_work(t, w, session_fault::aborted,
                         late ? "no answer in time" : "connection lost");
    if (w->m_writes)
        return fail_work(t, w,
                         late ? session_fault::timed_out
                              : session_fault::unknown_outcome,
                         late ? "no answer in time" : "connection lost");
    retry_work(t, w, late ? session_fault::timed_out : session_fault::failed,
               late ? "no answer in time" : "connection lost");
}

}

bool has_idle_link(const endpoint_port& p, std::string_view workspace)
{
    return std::ranges::any_of(p.m_links,
                               [&](const link& k)
                               {
                                   return is_idle_for(k, workspace);
                               });
}

bool has_room(const endpoint_port& p, std::string_view workspace)
{
    if (p.m_link_count < p.m_limit && boot_now() >= p.m_full_until)
        return true;
    return std::ranges::any_of(p.m_links,
                               [&](const link& k)
                               {
                                   return k.m_state == link_state::idle &&
                                          !k.m_work &&
                                          k.m_workspace != workspace;
                               });
}

link_ptr obtain_link(session_task_state& t, endpoint_port& p,
                     std::string_view workspace, const session* s)
{
    if (link* k = best_idle(p, workspace, s))
        return link_ptr(k);
    if (p.m_link_count >= p.m_limit || boot_now() < p.m_full_until)
    {
        link* const unused = oldest_idle(p);
        if (unused == nullptr)
            return {};
        close_link(t, *unused);
    }
    return dial(t, p, workspace);
}

void send_work(session_task_state& t, link& k)
{
    work& w = *k.m_work;
    std::string out;
    const bool was_pinned = k.m_begun;
    // What is known of the group may have changed while the link was dialed.
    if (!was_pinned && !holds_enough(w, *k.m_port))
    {
        const work_ptr held = k.m_work;
        retry_work(t, held, session_fault::busy, "endpoint unproved");
        return release_link(t, k);
    }
    match_values(t, k, *w.m_session, out);
    match_prepared(t, k, w, out);
    move_to(t, k, link_event::sent);
    if (w.m_session->m_transaction && !was_pinned)
        send_begin(t, k, w, out);
    else
        send_statement(t, k, w, out);
    k.m_stream->write(out);
}

void roll_back(session_task_state& t, link& k)
{
    if (k.m_state == link_state::closed)
        return;
    // An answer under way would be taken for that of the rollback.
    if (!k.m_expected.empty())
        return close_link(t, k);
    move_to(t, k, link_event::rolled_back);
    std::string out;
    t.m_codec.m_write_rollback(out);
    expect(k, link_answer::rollback);
    k.m_stream->write(out);
}

void release_link(session_task_state& t, link& k)
{
    if (k.m_state != link_state::idle || k.m_work)
        return;
    endpoint_port& p = *k.m_port;
    if (k.m_doubtful || !p.m_listed || p.m_link_count > p.m_limit)
        return close_link(t, k);
    if (p.m_status_wanted)
    {
        p.m_status_wanted = false;
        return ask_status(t, k);
    }
    serve_waiting(t, *p.m_group);
}

void close_link(session_task_state& t, link& k)
{
    if (k.m_state == link_state::closed)
        return;
    const link_ptr keep(&k, false); // Takes the list's count over.
    endpoint_port& p = *k.m_port;
    for (const expected_answer& e : k.m_expected)
        if (e.m_kind == link_answer::statement)
            --p.m_running;
    k.m_expected.clear();
    t.m_charts.m_link.fire(k.m_state, link_event::lost);
    k.auto_unlink_hook::unlink();
    --p.m_link_count;
    k.m_stream.reset();
    const work_ptr w = std::exchange(k.m_work, nullptr);
    if (!w)
        return;
    // retry_work and fail_work look at the link for its endpoint.
    lose_work(t, w, k.m_begun);
}

void read_link(session_task_state& t, link& k)
{
    const link_ptr keep(&k);
    while (k.m_state != link_state::closed)
    {
        const auto line = k.m_stream->next_line();
        if (!line)
            return;
        take_reply(t, k, *line);
    }
}

void lose_link(session_task_state& t, link& k)
{
    const link_ptr keep(&k);
    endpoint_port& p = *k.m_port;
    if (k.m_state == link_state::dialing)
        avoid_port(t, p, "not greeted");
    // A session learns of it with its next statement.
    if (k.m_begun && !k.m_work)
        for (session& s : t.m_sessions)
            if (s.m_transaction && s.m_transaction->m_link == &k)
            {
                s.m_transaction->m_link = nullptr;
                s.m_transaction->m_lost = true;
            }
    close_link(t, k);
}

void close_spare_links(session_task_state& t, endpoint_port& p, time_point now)
{
    while (p.m_link_count > kept_links)
    {
        link* const unused = oldest_idle(p);
        if (unused == nullptr || now - unused->m_since < spare_link_time)
            return;
        close_link(t, *unused);
    }
}

void check_links(session_task_state& t, time_point now)
{
    for (auto& [id, p] : t.m_ports)
        close_spare_links(t, p, now);
    std::vector<link_ptr> overdue;
    for (auto& [id, p] : t.m_ports)
        for (link& k : p.m_links)
        {
            const bool greeting = k.m_state == link_state::dialing;
            const bool own = !k.m_work && !k.m_expected.empty();
            if ((greeting || own) && now - k.m_since >= greeting_limit)
                overdue.emplace_back(&k);
        }
    for (const link_ptr& k : overdue)
    {
        if (k->m_state == link_state::closed)
            continue;
        avoid_port(t, *k->m_port, "silent");
        lose_link(t, *k);
    }
}

}
