#include <session/session_homes.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>
#include <vector>

#include <sys/socket.h>

#include <event2/listener.h>

#include <report/event.hpp>
#include <task/boot_clock.hpp>
#include <wire/socket_address.hpp>

namespace bluebellspoke
{

namespace
{

static_assert(largest_message == max_line_length);

// How often the sessions' time limits are checked. A check looks at all of
// them, which a tick of 20 ms is too short for on the slowest VM.
constexpr std::chrono::seconds client_check_interval{1};
// Connections closed in a tick to make room: 400 a second.
constexpr std::size_t max_closed_a_tick = 8;
// Longest time between two log lines on one pause.
constexpr std::chrono::seconds pause_log_interval{1};

void pause_accepting(session_task_state& t)
{
    session_clients& c = t.m_clients;
    c.m_accepts = false;
    evconnlistener_disable(t.m_listener.get());
    ++c.m_pauses;
    const time_point now = boot_now();
    if (now - c.m_pause_logged_at < pause_log_interval)
        return;
    c.m_pause_logged_at = now;
    log_event(event_id::accepting_paused,
              {{"open", std::to_string(c.m_open)},
               {"connections", std::to_string(open_connections(t))},
               {"limit", std::to_string(c.m_limits.m_connections)}});
}

void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int,
               void* state)
{
    auto& t = *static_cast<session_task_state*>(state);
    try
    {
        accept_session(t, socket);
    }
    catch (const std::exception& e)
    {
        log_event(event_id::session_failed, {{"failure", e.what()}});
        evutil_closesocket(socket);
    }
    if (open_connections(t) >= t.m_clients.m_limits.m_connections)
        pause_accepting(t);
}

// The event library reports want of descriptors with each turn of the loop.
void on_accept_failure(evconnlistener*, void* state)
{
    pause_accepting(*static_cast<session_task_state*>(state));
}

// A session that neither runs a statement nor holds an endpoint's connection,
// here or at its home.
bool is_at_rest(const session& s)
{
    const bool holds_link =
        s.m_transaction && (s.m_transaction->m_link || s.m_home_link);
    return !s.m_work && !holds_link;
}

std::vector<session_ptr> choose_overdue(session_task_state& t, time_point now)
{
    std::vector<session_ptr> chosen;
    for (session& s : t.m_sessions)
        if (overdue(s.m_times, now))
            chosen.emplace_back(&s);
    return chosen;
}

// Connections without a session, and sessions at rest, the oldest first.
std::vector<session_ptr> choose_unused(session_task_state& t, time_point now)
{
    std::vector<std::pair<duration, session*>> candidates;
    for (session& s : t.m_sessions)
    {
        const duration order =
            is_at_rest(s) ? closing_order(s.m_times, now) : duration{};
        if (order > duration{})
            candidates.emplace_back(order, &s);
    }
    const std::size_t count = std::min(candidates.size(), max_closed_a_tick);
    std::ranges::partial_sort(
        candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count),
        std::greater());
    std::vector<session_ptr> chosen;
    for (std::size_t i = 0; i < count; ++i)
        chosen.emplace_back(candidates[i].second);
    return chosen;
}

void close_largest(session_task_state& t)
{
    while (t.m_clients.m_shared_used > t.m_clients.m_limits.m_shared_bytes)
    {
        const auto largest =
            std::ranges::max_element(t.m_sessions, {}, &session::m_shared_use);
        close_client(t, *largest, client_fault::most_memory);
    }
}

void give_memory(session_task_state& t)
{
    while (!t.m_waiting.empty())
    {
        session& longest = t.m_waiting.front();
        await_rest(t, longest);
        if (!t.m_waiting.empty() && &t.m_waiting.front() == &longest)
            return;
    }
}

void stop_waiting(session& s)
{
    s.waiting_hook::unlink();
    s.m_times.m_without_memory_since = {};
}

// What the running statement holds; its reservation ends once it has been read.
std::size_t running_statement_use(const session& s)
{
    if (!s.m_work)
        return 0;
    const work& w = *s.m_work;
    const std::size_t shape = w.m_prepared ? w.m_prepared->m_shape.size() : 0;
    const line_stream* sent_on = nullptr;
    if (w.m_link)
        sent_on = w.m_link->m_stream.get();
    else if (s.m_home_link)
        sent_on = s.m_home_link->m_stream.get();
    return statement_use(w.m_text.size() + w.m_arguments.size() + shape,
                         w.m_sent_at != time_point{},
                         sent_on != nullptr ? sent_on->unsent() : 0);
}

}

std::size_t open_connections(const session_task_state& t)
{
    const auto& at_homes = t.m_homes.m_links;
    std::size_t open = t.m_clients.m_open +
                       static_cast<std::size_t>(
                           std::distance(at_homes.begin(), at_homes.end()));
    for (const auto& [id, p] : t.m_endpoint_pools)
        open += p.m_link_count;
    return open;
}

void listen(session_task_state& t)
{
    constexpr int backlog = 512;
    const socket_address at = to_socket_address(t.m_settings.m_caller_listen);
    t.m_listener.reset(evconnlistener_new_bind(
        t.m_loop.m_base.get(), &on_accept, &t,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        backlog, reinterpret_cast<const sockaddr*>(&at.m_storage),
        static_cast<int>(at.m_length)));
    if (!t.m_listener)
        throw loop_error();
    evconnlistener_set_error_cb(t.m_listener.get(), &on_accept_failure);
    // Accepted sockets inherit these. The kernel doubles the value; without
    // it, it keeps up to 6 MB for a session that isn't read.
    const int bytes = kernel_buffer_bytes / 2;
    const evutil_socket_t socket = evconnlistener_get_fd(t.m_listener.get());
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
}

void count_use(session_task_state& t, session& s)
{
    client_use& u = s.m_use;
    const std::size_t usual = t.m_clients.m_limits.m_session_bytes;
    u.m_unread = s.m_stream->unread();
    u.m_unsent = s.m_stream->unsent();
    u.m_answer = s.m_work ? s.m_work->m_answer.size() : 0;
    u.m_statement = running_statement_use(s);
    u.m_is_paused = u.m_unread >= usual || u.m_unsent >= max_unsent_answers;
    if (u.m_reserved > 0 && (s.m_work || u.m_unread < usual))
    {
        u.m_reserved = 0;
        s.m_stream->set_read_limit(usual);
    }
    s.m_times.m_at_rest_since = s.m_work ? time_point{} : boot_now();
    const std::size_t used = shared_use(t.m_clients.m_limits, u);
    t.m_clients.m_shared_used += used - s.m_shared_use;
    s.m_shared_use = used;
}

void forget_use(session_task_state& t, session& s)
{
    t.m_clients.m_shared_used -= std::exchange(s.m_shared_use, 0);
}

void await_rest(session_task_state& t, session& s)
{
    session_clients& c = t.m_clients;
    const bool fits = s.m_stream->unread() < c.m_limits.m_session_bytes;
    if (fits)
        return stop_waiting(s);
    if (s.m_use.m_reserved > 0)
        return s.m_stream->set_read_limit(
            large_read_limit(c.m_limits, s.m_stream->unread()));
    if (s.m_state == session_state::starting)
        return close_client(t, s, client_fault::message_length);
    const bool is_first = t.m_waiting.empty() || &t.m_waiting.front() == &s;
    if (!is_first || !may_reserve(c.m_limits, c.m_shared_used - s.m_shared_use))
    {
        // Its caller may be sending as fast as it is read.
        s.m_times.m_in_message_since = {};
        if (s.m_times.m_without_memory_since == time_point{})
            s.m_times.m_without_memory_since = boot_now();
        if (!s.waiting_hook::is_linked())
            t.m_waiting.push_back(s);
        return;
    }
    stop_waiting(s);
    s.m_times.m_in_message_since = boot_now();
    s.m_use.m_reserved = large_statement_bytes;
    s.m_stream->set_read_limit(
        large_read_limit(c.m_limits, s.m_stream->unread()));
    count_use(t, s);
}

void close_client(session_task_state& t, session& s, client_fault fault)
{
    if (s.m_state == session_state::closed)
        return;
    ++t.m_clients.m_closed.at(static_cast<std::size_t>(fault));
    log_event(event_id::client_closed,
              {{"session", std::to_string(s.m_number)},
               {"database", s.m_database},
               {"workspace", s.m_workspace},
               {"request", s.m_work ? s.m_work->m_id : std::string()},
               {"cause", std::string(to_string(fault))},
               {"unread", std::to_string(s.m_use.m_unread)},
               {"unsent", std::to_string(s.m_use.m_unsent)},
               {"kept", std::to_string(s.m_use.m_kept)},
               {"shared_used", std::to_string(t.m_clients.m_shared_used)},
               {"open", std::to_string(t.m_clients.m_open)}});
    close_session(t, s);
}

void tick_clients(session_task_state& t, time_point now)
{
    session_clients& c = t.m_clients;
    // What arrives while a statement runs isn't counted otherwise.
    for (work& w : t.m_pending_work)
        if (w.m_session)
            count_use(t, *w.m_session);
    for (work& w : t.m_homes.m_statements)
        if (w.m_session)
            count_use(t, *w.m_session);
    close_largest(t);
    give_memory(t);
    if (now >= c.m_next_check_at)
    {
        c.m_next_check_at = now + client_check_interval;
        for (const session_ptr& s : choose_overdue(t, now))
            if (const auto fault = overdue(s->m_times, now))
                close_client(t, *s, *fault);
    }
    const std::size_t open = open_connections(t);
    const std::size_t limit = c.m_limits.m_connections;
    if (open > limit || (open == limit && !c.m_accepts))
        for (const session_ptr& s : choose_unused(t, now))
        {
            // Its home isn't lost to the process that passed it on.
            if (s->m_is_relayed)
                release_relayed_session(t, *s,
                                        to_string(client_fault::made_room));
            else
                close_client(t, *s, client_fault::made_room);
        }
    if (c.m_accepts || !t.m_listener || open_connections(t) >= limit)
        return;
    c.m_accepts = true;
    evconnlistener_enable(t.m_listener.get());
}

bool keep_bytes(session_task_state& t, session& s, std::size_t names,
                std::size_t added, std::size_t replaced)
{
    const std::size_t others = s.m_use.m_kept - replaced;
    const std::size_t other_names = replaced > 0 ? names - 1 : names;
    if (!may_keep(t.m_clients.m_limits, t.m_clients.m_shared_used, other_names,
                  others, added))
        return false;
    s.m_use.m_kept = others + added;
    return true;
}

}
