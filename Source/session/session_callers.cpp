#include <session/session_homes.hpp>

#include <utility>

#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

transaction_status transaction_status_of(const session& s)
{
    switch (s.m_state)
    {
    case session_state::in_transaction:
        return transaction_status::open;
    case session_state::in_failed_transaction:
        return transaction_status::failed;
    default:
        return transaction_status::idle;
    }
}

void refuse_session(session_task_state& t, session& s, session_fault fault,
                    std::string_view detail)
{
    std::string out;
    t.m_codec.m_write_error(out, fault, detail);
    s.m_stream->write(out);
    count_fault(t, fault);
    log_event(event_id::session_refused,
              {{"session", std::to_string(s.m_number)},
               {"database", s.m_database},
               {"fault", std::string(to_string(fault))},
               {"config_version",
                std::to_string(t.m_config ? t.m_config->m_version : 0)}});
    s.m_is_closing = true;
    s.m_stream->finish();
}

void start_session(session_task_state& t, session& s, const caller_message& m)
{
    s.m_database = m.m_database;
    s.m_key = m.m_key;
    // Before the first configuration arrives the databases are unknown: reply
    // with `busy`, so that the caller tries again, not with `no_database`.
    if (!t.m_config)
        return refuse_session(t, s, session_fault::busy, "starting");
    const auto route = t.m_config->m_routes.find(m.m_database);
    if (route == t.m_config->m_routes.end())
        return refuse_session(t, s, session_fault::no_database, "no route");
    if (!route->second.m_public && !t.m_config->m_keys.contains(m.m_key))
        return refuse_session(t, s, session_fault::unauthorized, "key");
    t.m_charts.m_session.fire(s.m_state, session_event::started);
    s.m_times.m_without_startup_since = {};
    log_event(event_id::session_started,
              {{"session", std::to_string(s.m_number)},
               {"database", s.m_database},
               {"route", std::string(to_string(route->second.m_consistency))},
               {"config_version", std::to_string(t.m_config->m_version)}});
    answer_ready(t, s, {});
}

void handle_message(session_task_state& t, session& s, const caller_message& m)
{
    if (m.m_kind == caller_message_kind::terminate)
        return close_session(t, s);
    if (s.m_state == session_state::starting)
    {
        if (m.m_kind == caller_message_kind::startup)
            return start_session(t, s, m);
        return refuse_session(t, s, session_fault::malformed, "startup first");
    }
    if (handle_relayed_message(t, s, m))
        return;
    if (m.m_kind != caller_message_kind::query)
    {
        log_refused(t, s, m.m_id, session_fault::malformed, "unknown message");
        return answer_fault(t, s, session_fault::malformed, "unknown message");
    }
    handle_statement(t, s, m.m_id, m.m_statement);
}

bool may_read(const session& s)
{
    return s.m_state != session_state::closed && !s.m_work && !s.m_is_closing &&
           s.m_stream->unsent() < max_unsent_answers;
}

// Returns how many lines were handled.
unsigned handle_lines(session_task_state& t, session& s)
{
    const auto read =
        s.m_is_relayed ? t.m_codec.m_read_relayed : t.m_codec.m_read_caller;
    for (unsigned i = 0; i < max_statements_a_turn; ++i)
    {
        const auto line = may_read(s) ? s.m_stream->next_line() : std::nullopt;
        if (!line)
            return i;
        handle_message(t, s, read(*line));
        if (s.m_stream)
            s.m_stream->drop_line();
    }
    return max_statements_a_turn;
}

void read_later(session_task_state& t, session& s)
{
    if (!s.readable_hook::is_linked())
        t.m_readable.push_back(s);
    t.m_turn.start_once(std::chrono::microseconds::zero());
}

// What a caller sent can't be a reason to end the process: an exception that
// nothing expects, such as want of memory, drops its session.
template <class Body>
void guard_session(session_task_state& t, session& s, Body body)
{
    const session_ptr guard(&s);
    try
    {
        body();
    }
    catch (const std::exception& e)
    {
        log_event(
            event_id::session_failed,
            {{"session", std::to_string(s.m_number)}, {"failure", e.what()}});
        close_client(t, s, client_fault::task_failure);
    }
}

}

void accept_session(session_task_state& t, int socket, bool is_relayed)
{
    const session_ptr s(new session);
    s->m_is_relayed = is_relayed;
    s->m_number = ++t.m_last_session_number;
    session& added = *s;
    s->m_stream = std::make_unique<line_stream>(
        t.m_loop, socket,
        line_stream_handlers{[&t, &added]
                             {
                                 guard_session(t, added,
                                               [&]
                                               {
                                                   read_session(t, added);
                                               });
                             },
                             [&t, &added](stream_end_reason reason)
                             {
                                 if (reason == stream_end_reason::line_too_long)
                                     close_client(t, added,
                                                  client_fault::message_length);
                                 else
                                     close_session(t, added);
                             },
                             [&t, &added]
                             {
                                 added.m_times.m_unsent_since = {};
                                 resume_session(t, added);
                             }});
    s->m_stream->set_read_limit(t.m_clients.m_limits.m_session_bytes);
    s->m_times.m_without_startup_since = boot_now();
    ++t.m_counts.m_sessions;
    ++t.m_clients.m_open;
    // The list does not own its elements. This reference, released in
    // close_session, keeps the session alive.
    intrusive_ptr_add_ref(s.get());
    t.m_sessions.push_back(*s);
}

void read_session(session_task_state& t, session& s)
{
    if (s.m_is_reading)
        return;
    const session_ptr guard(&s);
    s.m_is_reading = true;
    const unsigned handled = handle_lines(t, s);
    s.m_is_reading = false;
    if (s.m_state == session_state::closed)
        return;
    const bool lacks_bytes = may_read(s) && handled < max_statements_a_turn;
    if (!lacks_bytes || s.m_stream->unread() == 0)
        s.m_times.m_in_message_since = {};
    else if (handled > 0 || s.m_times.m_in_message_since == time_point{})
        s.m_times.m_in_message_since = boot_now();
    count_use(t, s);
    if (lacks_bytes)
    {
        await_rest(t, s);
        return close_if_stopping(t, s);
    }
    if (may_read(s))
        read_later(t, s);
}

void resume_session(session_task_state& t, session& s)
{
    if (s.m_is_reading || s.m_state == session_state::closed)
        return;
    if (s.m_stream->unread() > 0)
        return read_later(t, s);
    count_use(t, s);
    close_if_stopping(t, s);
}

void read_sessions(session_task_state& t)
{
    decltype(t.m_readable) now;
    now.swap(t.m_readable);
    while (!now.empty())
    {
        session& s = now.front();
        now.pop_front();
        guard_session(t, s,
                      [&]
                      {
                          read_session(t, s);
                      });
    }
}

void close_session(session_task_state& t, session& s)
{
    if (s.m_state == session_state::closed)
        return;
    const session_ptr guard(&s, false); // Adopts the list's reference.
    t.m_charts.m_session.fire(s.m_state, session_event::disconnected);
    if (s.m_work)
    {
        const work_ptr w = std::move(s.m_work);
        s.m_work = nullptr;
        count_outcome(t, s, session_outcome::disconnected);
        w->m_session = nullptr;
        // A statement that runs in a transaction on a pinned connection, or
        // still waits for the transaction to begin there, is dropped and the
        // connection closed. Only a statement that was already sent outside of
        // a transaction may outlive its session.
        const bool sent = w->m_sent_at != time_point{};
        if (!w->m_link || !sent || w->m_link->m_in_transaction)
        {
            remove_from_queue(*w);
            w->auto_unlink_hook::unlink();
            if (w->m_link)
            {
                const link_ptr k = std::exchange(w->m_link, nullptr);
                k->m_work = nullptr;
                if (k->m_state != link_state::connecting)
                    close_link(t, *k, "caller left");
            }
        }
    }
    close_home_link(t, s, "session ended");
    abort_transaction(t, s);
    s.auto_unlink_hook::unlink();
    s.readable_hook::unlink();
    s.waiting_hook::unlink();
    --t.m_clients.m_open;
    forget_use(t, s);
    s.m_stream.reset();
}

void answer_ready(session_task_state& t, session& s, std::string_view answer)
{
    std::string out(answer);
    if (s.m_is_relayed)
        t.m_codec.m_write_position(out, transaction_status_of(s),
                                   s.m_commit_position);
    else
        t.m_codec.m_write_ready(out, transaction_status_of(s));
    s.m_stream->write(out);
    if (s.m_times.m_unsent_since == time_point{})
        s.m_times.m_unsent_since = boot_now();
    count_use(t, s);
}

void answer_complete(session_task_state& t, session& s)
{
    std::string out;
    t.m_codec.m_write_complete(out);
    answer_ready(t, s, out);
}

void answer_fault(session_task_state& t, session& s, session_fault fault,
                  std::string_view detail)
{
    if (s.m_state == session_state::in_transaction)
    {
        t.m_charts.m_session.fire(s.m_state, session_event::transaction_failed);
        abort_transaction(t, s);
    }
    count_fault(t, fault);
    std::string out;
    t.m_codec.m_write_error(out, fault, detail);
    answer_ready(t, s, out);
}

}
