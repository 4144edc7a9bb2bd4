#include <session/session_homes.hpp>

#include <algorithm>
#include <unistd.h>

#include <event2/listener.h>
#include <event2/util.h>

#include <decide/group_relay.hpp>
#include <report/event.hpp>
#include <task/boot_clock.hpp>
#include <wire/socket_address.hpp>

namespace bluebellspoke
{

namespace
{

void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int,
               void* context)
{
    session_task_state& t = *static_cast<session_task_state*>(context);
    const auto accepted = static_cast<std::size_t>(
        std::ranges::count_if(t.m_sessions,
                              [](const session& s)
                              {
                                  return s.m_is_relayed;
                              }));
    // The other process serves the session itself.
    if (accepted >= max_relayed_sessions ||
        open_connections(t) >= t.m_clients.m_limits.m_connections)
    {
        evutil_closesocket(socket);
        return;
    }
    try
    {
        accept_session(t, socket, true);
    }
    catch (const std::exception& e)
    {
        log_event(event_id::session_failed, {{"failure", e.what()}});
        evutil_closesocket(socket);
    }
}

// The event library reports want of descriptors with each turn of the loop.
// check_relayed_sessions() enables the listener again.
void on_accept_failure(evconnlistener* listener, void*)
{
    evconnlistener_disable(listener);
}

void restore_position(session& s, const caller_message& m)
{
    if (m.m_position)
        s.m_commit_position = std::max(
            s.m_commit_position.value_or(log_position{}), *m.m_position);
    log_event(event_id::relayed_session_accepted,
              {{"session", std::to_string(s.m_number)},
               {"from", std::string(m.m_process)},
               {"from_session", std::string(m.m_id)},
               {"database", s.m_database},
               {"has_written", m.m_position ? "yes" : "no"}});
}

// The reason, other than load, for which the session's statement can't be
// served here; empty: none. After the end of another home this one may have
// taken its sessions over without a cell leader or any knowledge of the group,
// while the process that accepted a session lacks neither.
std::string_view unserved_cause(const session_task_state& t, const session& s,
                                time_point now)
{
    const work_ptr& w = s.m_work;
    if (!w || w->m_link || w->m_sent_at != time_point{})
        return {};
    if (w->m_waits_for_rate)
        return t.m_leader_is_silent && !controls_rates(t, now)
                   ? "no cell leader"
                   : std::string_view();
    const auto group = t.m_groups.find(s.m_route->m_service);
    if (group == t.m_groups.end())
        return "unknown group";
    // A lease that has ended is missing everywhere, as in a failover.
    const bool had_lease = group->second.m_view.m_lease_until != time_point{};
    return !had_lease && now - w->m_received_at >= own_request_delay
               ? "no lease yet"
               : std::string_view();
}

bool is_unused(const session& s, time_point now)
{
    const time_point at_rest_since = s.m_times.m_at_rest_since;
    return !s.m_work && !s.m_transaction && at_rest_since != time_point{} &&
           now - at_rest_since >= relayed_rest_timeout;
}

// True if the session is now as the statement asks.
bool has_taken_effect(const session& s, const session_statement& q)
{
    switch (q.m_kind)
    {
    case statement_kind::set:
    {
        const auto value = s.m_values.find(q.m_name);
        return value != s.m_values.end() && value->second == q.m_value;
    }
    case statement_kind::prepare_read:
    case statement_kind::prepare_write:
    {
        const auto prepared = s.m_prepared.find(q.m_name);
        return prepared != s.m_prepared.end() &&
               prepared->second.m_shape == q.m_value &&
               prepared->second.m_writes ==
                   (q.m_kind == statement_kind::prepare_write);
    }
    case statement_kind::deallocate:
        return !s.m_prepared.contains(q.m_name);
    case statement_kind::begin:
    case statement_kind::begin_read:
        return s.m_state == session_state::in_transaction;
    case statement_kind::rollback:
        return s.m_state == session_state::idle;
    default:
        return false;
    }
}

}

void listen_for_sessions(session_task_state& t)
{
    const address& listen = t.m_settings.m_session_listen;
    if (listen.m_port == 0)
        return;
    constexpr int backlog = 128;
    const socket_address at = to_socket_address(listen);
    t.m_session_listener.reset(evconnlistener_new_bind(
        t.m_loop.m_base.get(), &on_accept, &t,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        backlog, reinterpret_cast<const sockaddr*>(&at.m_storage),
        static_cast<int>(at.m_length)));
    // Without it this process still serves its own callers.
    if (!t.m_session_listener)
        return log_event(event_id::session_address_unusable,
                         {{"address", to_string(listen)}});
    evconnlistener_set_error_cb(t.m_session_listener.get(), &on_accept_failure);
}

bool handle_relayed_message(session_task_state& t, session& s,
                            const caller_message& m)
{
    if (m.m_kind == caller_message_kind::resume)
    {
        restore_position(s, m);
        // It would run what the newer configuration forbids.
        if (!t.m_config || t.m_config->m_version < m.m_config_version)
            release_relayed_session(t, s, "older configuration");
        return true;
    }
    if (m.m_kind != caller_message_kind::setup)
        return false;
    handle_statement(t, s, m.m_id, m.m_statement);
    // What follows relies on it: without the transaction that it begins, a
    // statement would take effect by itself.
    if (s.m_state != session_state::closed &&
        !has_taken_effect(s, m.m_statement))
        release_relayed_session(t, s, "setup refused");
    return true;
}

void release_relayed_session(session_task_state& t, session& s,
                             std::string_view cause)
{
    if (s.m_is_closing)
        return;
    log_event(event_id::relayed_session_released,
              {{"session", std::to_string(s.m_number)},
               {"database", s.m_database},
               {"request", s.m_work ? s.m_work->m_id : std::string()},
               {"cause", std::string(cause)}});
    if (s.m_work)
        detach_work(*work_ptr(s.m_work));
    std::string out;
    t.m_codec.m_write_release(out);
    s.m_is_closing = true;
    s.m_stream->write(out);
    s.m_stream->finish();
}

void check_relayed_sessions(session_task_state& t, time_point now)
{
    if (t.m_session_listener)
        evconnlistener_enable(t.m_session_listener.get());
    for (session& s : t.m_sessions)
    {
        if (!s.m_is_relayed || s.m_is_closing)
            continue;
        const std::string_view cause = unserved_cause(t, s, now);
        if (!cause.empty())
            release_relayed_session(t, s, cause);
        else if (is_unused(s, now))
            release_relayed_session(t, s, "unused");
    }
}

}
