#include <session/session_homes.hpp>

#include <algorithm>
#include <utility>

#include <report/event.hpp>
#include <session/session_failures.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

const session_member* find_member(const session_task_state& t,
                                  std::string_view name)
{
    const auto found =
        std::ranges::find(t.m_homes.m_members, name, &session_member::m_name);
    return found == t.m_homes.m_members.end() ? nullptr : &*found;
}

bool has_room_for(const session_task_state& t, std::string_view home)
{
    if (open_connections(t) >= t.m_clients.m_limits.m_connections)
        return false;
    std::size_t all = 0;
    std::size_t of_home = 0;
    for (const home_link& h : t.m_homes.m_links)
    {
        ++all;
        of_home += h.m_home == home ? 1U : 0U;
    }
    return all < max_passed_on_sessions &&
           of_home < max_passed_on_sessions_per_home;
}

void send_session(session_task_state& t, home_link& h)
{
    const session& s = *h.m_session;
    std::string out;
    t.m_codec.m_write_session(out, s.m_database, s.m_key);
    h.m_expected_replies.push_back(home_reply_kind::startup);
    write_home_resume(t, h, out);
    h.m_stream->write(out);
}

enum class home_loss : std::uint8_t
{
    of_home,    ///< It has ended, or accepts no session.
    of_session, ///< Of this one only.
    released,   ///< As of_session; no statement without an answer has run.
};

// Ends the connection and what the session had at the home.
void lose_home_link(session_task_state& t, home_link& h, std::string_view cause,
                    home_loss loss)
{
    const home_link_ptr keep_alive(&h);
    const session_ptr s(h.m_session);
    const bool in_transaction = h.m_state == home_link_state::in_transaction;
    const bool was_accepted = h.m_state != home_link_state::opening;
    close_home_link(t, *s, cause);
    // A home that releases a session with its statement can't serve it now.
    const bool was_unserved = loss == home_loss::released && s->m_work;
    if (loss == home_loss::of_home || !was_accepted || was_unserved)
        avoid_home(t, h.m_home, cause);
    handle_lost_home(t, *s, h.m_home, in_transaction,
                     loss == home_loss::released || !was_accepted);
}

void finish_home_reply(session_task_state& t, home_link& h,
                       const endpoint_reply& ready)
{
    session& s = *h.m_session;
    const home_reply_kind kind = h.m_expected_replies.front();
    h.m_expected_replies.pop_front();
    if (ready.m_position)
        s.m_commit_position = std::max(
            s.m_commit_position.value_or(log_position{}), *ready.m_position);
    switch (kind)
    {
    case home_reply_kind::startup:
        t.m_homes.m_avoided.erase(h.m_home);
        apply_home_link_event(t, h, home_link_event::accepted);
        if (s.m_work)
            send_to_home(t, h);
        return;
    case home_reply_kind::setup:
    case home_reply_kind::rollback:
        // The home ends the session after a setup that it refuses.
        h.m_fault.reset();
        return;
    case home_reply_kind::statement:
        return finish_home_statement(t, h, ready.m_state);
    }
}

void process_home_reply(session_task_state& t, home_link& h,
                        std::string_view line)
{
    if (t.m_codec.m_is_release(line))
        return lose_home_link(t, h, "released", home_loss::released);
    const endpoint_reply r = t.m_codec.m_read_endpoint(line);
    if (h.m_expected_replies.empty() ||
        r.m_kind == endpoint_reply_kind::malformed)
        return lose_home_link(t, h, "unreadable", home_loss::of_session);
    const home_reply_kind kind = h.m_expected_replies.front();
    const work_ptr w = h.m_session->m_work;
    switch (r.m_kind)
    {
    case endpoint_reply_kind::row:
    case endpoint_reply_kind::complete:
        if (kind == home_reply_kind::statement && w)
            w->m_answer.append(line).append("\r\n");
        return;
    case endpoint_reply_kind::error:
        h.m_fault = r.m_fault;
        h.m_fault_detail = r.m_detail;
        // The error that refuses a session is the home's last message.
        if (kind == home_reply_kind::startup)
            lose_home_link(t, h, to_string(r.m_fault), home_loss::of_home);
        return;
    case endpoint_reply_kind::ready:
        return finish_home_reply(t, h, r);
    case endpoint_reply_kind::malformed:
        return;
    }
}

void read_home_link(session_task_state& t, home_link& h)
{
    const home_link_ptr keep_alive(&h);
    bool has_more = true;
    while (has_more && h.m_state != home_link_state::closed)
        guard_home_link(t, h,
                        [&]
                        {
                            const auto line = h.m_stream->next_line();
                            has_more = line.has_value();
                            if (line)
                                process_home_reply(t, h, *line);
                        });
}

void end_home_link(session_task_state& t, home_link& h)
{
    const home_link_ptr keep_alive(&h);
    guard_home_link(t, h,
                    [&]
                    {
                        lose_home_link(t, h, "connection ended",
                                       home_loss::of_home);
                    });
}

// The cause for which a connection to a home ends now; empty: none.
std::string_view overdue_cause(const home_link& h, time_point now)
{
    const duration in_state = now - h.m_state_since;
    switch (h.m_state)
    {
    case home_link_state::opening:
        return in_state >= home_accept_timeout ? "not accepted"
                                               : std::string_view();
    case home_link_state::running:
    {
        const work_ptr& w = h.m_session->m_work;
        // The home counts the timeout from when it receives the statement.
        return w && now >= w->m_sent_at + (w->m_deadline - w->m_received_at) +
                               home_answer_margin
                   ? "no answer in time"
                   : std::string_view();
    }
    default:
        return {};
    }
}

}

void apply_home_link_event(session_task_state& t, home_link& h,
                           home_link_event event)
{
    t.m_charts.m_home_link.fire(h.m_state, event);
    h.m_state_since = boot_now();
}

bool is_home_congested(const session_task_state& t, std::string_view home)
{
    std::size_t all = 0;
    std::size_t of_home = 0;
    for (const home_link& h : t.m_homes.m_links)
    {
        const std::size_t unsent = h.m_stream->unsent();
        all += unsent;
        of_home += h.m_home == home ? unsent : 0U;
    }
    return all >= max_waiting_home_bytes ||
           of_home >= max_waiting_bytes_per_home;
}

bool open_home_link(session_task_state& t, session& s, std::string_view home)
{
    const session_member* const member = find_member(t, home);
    if (member == nullptr || !has_room_for(t, home))
        return false;
    const home_link_ptr h(new home_link);
    h->m_session = &s;
    h->m_home = home;
    h->m_state_since = boot_now();
    home_link& opened = *h;
    try
    {
        h->m_stream = std::make_unique<line_stream>(
            t.m_loop, member->m_address,
            line_stream_handlers{[&t, &opened]
                                 {
                                     read_home_link(t, opened);
                                 },
                                 [&t, &opened](stream_end_reason)
                                 {
                                     end_home_link(t, opened);
                                 }});
    }
    catch (const loop_error& e)
    {
        avoid_home(t, home, e.what());
        return false;
    }
    catch (const address_error& e)
    {
        avoid_home(t, home, e.what());
        return false;
    }
    s.m_home_link = h;
    t.m_homes.m_links.push_back(*h);
    send_session(t, *h);
    return true;
}

void fail_home_link(session_task_state& t, home_link& h, std::string_view cause)
{
    if (h.m_state != home_link_state::closed)
        lose_home_link(t, h, cause, home_loss::of_session);
}

void close_home_link(session_task_state& t, session& s, std::string_view cause)
{
    const home_link_ptr h = std::exchange(s.m_home_link, nullptr);
    if (!h)
        return;
    log_event(event_id::session_left_home,
              {{"session", std::to_string(s.m_number)},
               {"home", h->m_home},
               {"cause", std::string(cause)},
               {"request", s.m_work ? s.m_work->m_id : std::string()},
               {"state_ms", milliseconds_of(boot_now() - h->m_state_since)}});
    t.m_charts.m_home_link.fire(h->m_state, home_link_event::lost);
    h->auto_unlink_hook::unlink();
    h->m_stream.reset();
}

void write_home_resume(session_task_state& t, home_link& h, std::string& out)
{
    const session& s = *h.m_session;
    h.m_config_version = s.m_config->m_version;
    t.m_codec.m_write_resume(out, t.m_settings.m_name,
                             std::to_string(s.m_number), s.m_commit_position,
                             h.m_config_version);
}

void check_home_links(session_task_state& t, time_point now)
{
    std::vector<home_link_ptr> links;
    for (home_link& h : t.m_homes.m_links)
        links.emplace_back(&h);
    for (const home_link_ptr& h : links)
    {
        if (h->m_state == home_link_state::closed)
            continue;
        const std::string_view cause = overdue_cause(*h, now);
        if (!cause.empty())
            guard_home_link(t, *h,
                            [&]
                            {
                                fail_home_link(t, *h, cause);
                            });
        else if (h->m_state == home_link_state::at_rest &&
                 now - h->m_state_since >= home_idle_timeout)
            close_home_link(t, *h->m_session, "unused");
    }
    std::erase_if(t.m_homes.m_avoided,
                  [&](const auto& entry)
                  {
                      return now - entry.second.m_until >= max_home_avoidance;
                  });
}

}
