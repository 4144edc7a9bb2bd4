#include <session/session_task.hpp>

#include <event2/listener.h>

#include <model/overloaded.hpp>
#include <report/event.hpp>
#include <session/session_explain.hpp>
#include <session/session_homes.hpp>
#include <task/boot_clock.hpp>
#include <task/wall_clock.hpp>

namespace bluebellspoke
{

void listener_deleter::operator()(evconnlistener* l) const noexcept
{
    evconnlistener_free(l);
}

namespace
{

// Aborts transactions that exceed the idle timeout, to free their connections.
void expire_transactions(session_task_state& t, time_point now)
{
    for (session& s : t.m_sessions)
    {
        if (!s.m_transaction || s.m_work || !s.m_transaction->m_link)
            continue;
        const duration limit = s.m_config->m_transaction_idle;
        if (limit == duration{} || now - s.m_transaction->m_idle_since < limit)
            continue;
        log_event(event_id::transaction_expired,
                  {{"session", std::to_string(s.m_number)},
                   {"database", s.m_database}});
        const link_ptr k = std::exchange(s.m_transaction->m_link, nullptr);
        s.m_transaction->m_is_aborted = true;
        roll_back(t, *k);
    }
}

void tick(session_task_state& t)
{
    const time_point now = boot_now();
    note_tick(t.m_usage, now);
    check_deadlines(t, now);
    check_links(t, now);
    check_home_links(t, now);
    check_relayed_sessions(t, now);
    for (auto& [name, g] : t.m_groups)
        if (backlog(g.m_queue) > 0)
            serve_waiting(t, g);
    expire_transactions(t, now);
    tick_clients(t, now);
    tick_relay(t, now);
    ask_statuses(t, now);
    tick_rates(t, now);
    report_primaries(t, now);
    tick_usage(t, now);
    tick_stop(t, now);
}

void apply_config(session_task_state& t, const site_config_ptr& config)
{
    t.m_config = config;
    update_rates(t);
    update_groups(t);
    update_homes(t);
}

void apply_promotion(session_task_state& t, const primary_promoted& m)
{
    const auto group = t.m_groups.find(m.m_service);
    if (group == t.m_groups.end())
        return;
    record_status(group->second.m_view, m.m_endpoint, m.m_status,
                  m.m_requested_at, boot_now());
    log_primary_change(t, group->second);
}

void handle_message(session_task_state& t, session_message& message)
{
    std::visit(
        overloaded{
            [&](const settings_changed& m)
            {
                t.m_settings = m.m_settings;
                update_groups(t);
                update_homes(t);
            },
            [&](const config_changed& m)
            {
                apply_config(t, m.m_config);
            },
            [&](const endpoints_changed& m)
            {
                t.m_endpoints = m.m_snapshot;
                update_groups(t);
            },
            [&](const fleet_changed& m)
            {
                apply_fleet(t, m);
            },
            [&](const cell_leadership& m)
            {
                apply_cell_leadership(t, m);
            },
            [&](const token_response& m)
            {
                apply_token_response(t, m);
            },
            [&](const token_transfer& m)
            {
                apply_transfer(t, m);
            },
            [&](const incoming_token_request& m)
            {
                answer_peer_tokens(t, m);
            },
            [&](const group_response& m)
            {
                apply_group_response(t, m);
            },
            [&](const incoming_group_request& m)
            {
                answer_peer_groups(t, m);
            },
            [&](const peer_demand_changed& m)
            {
                apply_peer_demand(t, m);
            },
            [&](const peer_ended& m)
            {
                mark_peer_ended(t.m_demand, m.m_peer);
            },
            [&](const reporting_changed& m)
            {
                t.m_reporting = m.m_enabled;
            },
            [&](const primary_promoted& m)
            {
                apply_promotion(t, m);
            },
            [&](const stop_begun&)
            {
                begin_stop(t);
            },
            [&](const metrics_request&)
            {
                t.m_mailboxes.m_life.post(
                    metrics_response{"session", collect_session_metrics(t)});
            },
            [&](const task_stop&)
            {
                stop(t.m_loop);
            },
            [&](const members_changed& m)
            {
                apply_members(t, m);
            },
            [&](const true_time_changed& m)
            {
                t.m_clock_offset = m.m_offset;
            },
            [&](const explain_request& m)
            {
                t.m_mailboxes.m_life.post(
                    explain_response{m.m_exchange, explain(t, m.m_query)});
            },
        },
        message);
}

void close_all(session_task_state& t)
{
    while (!t.m_sessions.empty())
        close_session(t, t.m_sessions.front());
    for (auto& [id, p] : t.m_endpoint_pools)
        while (!p.m_links.empty())
            close_link(t, p.m_links.front(), "process ends");
}

}

session_task_state::session_task_state(const site_settings& settings,
                                       const session_codec& codec,
                                       const session_charts& charts,
                                       site_mailboxes& mailboxes)
    : m_settings(settings), m_codec(codec), m_charts(charts),
      m_mailboxes(mailboxes), m_loop(make_loop()), m_tick(m_loop,
                                                          [this]
                                                          {
                                                              tick(*this);
                                                          }),
      m_turn(m_loop,
             [this]
             {
                 read_sessions(*this);
             })
{
    m_clients.m_limits =
        make_client_limits(settings.m_memory_bytes, settings.m_descriptors);
}

void run_session_task(const site_settings& settings, const session_codec& codec,
                      const session_charts& charts, site_mailboxes& mailboxes)
{
    session_task_state t(settings, codec, charts, mailboxes);
    t.m_demand.m_self = settings.m_name;
    t.m_demand.m_started_at = boot_now();
    t.m_cold_start.m_started_at = boot_now();
    t.m_random.seed(std::random_device()());
    t.m_clock_offset = offset_of(wall_now(), boot_now());
    mailboxes.m_session.attach(t.m_loop,
                               [&](session_message& m)
                               {
                                   handle_message(t, m);
                               });
    listen(t);
    mailboxes.m_life.post(accepting_callers());
    listen_for_sessions(t);
    t.m_tick.start_periodic(session_tick_interval);
    run(t.m_loop);
    close_all(t);
}

}
