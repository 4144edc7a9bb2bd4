#include <session/site_task.hpp>

#include <algorithm>
#include <array>
#include <string_view>

#include <model/overloaded.hpp>
#include <peer/loan_id.hpp>
#include <report/event.hpp>
#include <session/site_task_state.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

void tick(site_task_state& t)
{
    const time_point now = boot_now();
    note_tick(t.m_usage, now);
    log_traffic(t.m_traffic, now);
    if (expire_missing(t.m_list, now))
        publish_endpoints(t, "missing after an outage or the start");
    advance_cell(t, now);
    update_failover_candidacy(t, now);
    advance_usage(t, now);
    update_relayed_watches(t, now);
    send_digests(t);
    remove_silent_members(t);
}

void add_ignored(metric_families& families, const site_task_state& t)
{
    const auto add = [&](std::string_view kind, std::uint64_t count)
    {
        add_value(families, metric_id::ignored_entries, std::array{kind},
                  static_cast<double>(count));
    };
    for (const auto& [kind, count] : t.m_ignored_entries)
        add(to_string(kind), count);
    add("usage", t.m_ignored_counts);
    add_value(families, metric_id::unconfigured_endpoints, {},
              static_cast<double>(t.m_unconfigured_endpoints));
}

metric_families collect_site(const site_task_state& t)
{
    metric_families families;
    add_value(families, metric_id::settings_version, {},
              static_cast<double>(t.m_config ? t.m_config->m_version : 0));
    add_value(families, metric_id::fleet_members, {},
              static_cast<double>(t.m_members.size()));
    add_value(families, metric_id::platform_answers, {},
              is_store_available(t) ? 1 : 0);
    for (const store_watch& w : t.m_watches)
    {
        const double age = to_seconds(boot_now() - w.m_confirmed_at);
        if (w.m_kind == stored_kind::configuration)
            add_value(families, metric_id::configuration_age, {}, age);
        else if (w.m_kind == stored_kind::endpoints)
            add_value(families, metric_id::endpoint_list_age, {}, age);
    }
    const auto add_calls = [&](std::string_view result, std::uint64_t calls)
    {
        add_value(families, metric_id::store_calls, std::array{result},
                  static_cast<double>(calls));
    };
    add_calls("answered", t.m_answered_calls);
    add_calls("failed", t.m_failed_calls);
    add_calls("history_gone", t.m_history_gone_calls);
    const auto add_digests = [&](std::string_view direction, std::uint64_t n)
    {
        add_value(families, metric_id::peer_digests, std::array{direction},
                  static_cast<double>(n));
    };
    add_digests("sent", t.m_digests_sent);
    add_digests("received", t.m_digests_received);
    add_value(families, metric_id::cell_kept, {},
              leads_cell(t, boot_now()) ? 1 : 0);
    add_value(families, metric_id::relayed_watches, {},
              static_cast<double>(std::ranges::count(
                  t.m_watches, watch_state::relayed, &store_watch::m_state)));
    add_value(families, metric_id::settings_behind, {},
              to_seconds(time_behind(t)));
    add_ignored(families, t);
    collect_traffic(families, t.m_traffic);
    collect_usage(families, t.m_usage);
    add_value(families, metric_id::connections_failed,
              std::array{std::string_view("peer")},
              static_cast<double>(t.m_peer_server->failed()));
    add_value(families, metric_id::peer_answers_failed, {},
              static_cast<double>(t.m_peer_answers_failed));
    return families;
}

void handle_message(site_task_state& t, site_message& message)
{
    std::visit(
        overloaded{
            [&](const settings_changed& m)
            {
                t.m_settings = m.m_settings;
                add_seeds(t);
            },
            [&](const local_demand_changed& m)
            {
                announce_weights(t, m);
            },
            [&](const token_request& m)
            {
                request_tokens(t, m);
            },
            [&](const token_transfer_request& m)
            {
                request_transfer(t, m);
            },
            [&](const outgoing_token_grant& m)
            {
                answer_token_request(t, m);
            },
            [&](const group_request& m)
            {
                request_groups(t, m);
            },
            [&](const outgoing_groups& m)
            {
                answer_group_request(t, m);
            },
            [&](const stop_begun&) {},
            [&](const process_ending&)
            {
                announce_shutdown(t);
            },
            [&](const metrics_request&)
            {
                t.m_boxes.m_life.post(
                    metrics_response{"site", collect_site(t)});
            },
            [&](const task_stop&)
            {
                stop(t.m_loop);
            },
            [&](const usage_counted& m)
            {
                apply_own_usage(t, m);
            },
            [&](const usage_duty_changed& m)
            {
                apply_usage_duty(t, m);
            },
        },
        message);
}

}

site_task_state::site_task_state(const site_settings& settings,
                                 const site_codec& codec,
                                 const site_charts& charts,
                                 const store_factory& store,
                                 site_mailboxes& boxes)
    : m_settings(settings), m_codec(codec), m_charts(charts), m_boxes(boxes),
      m_loop(make_loop()), m_store(store(m_loop)), m_tick(m_loop,
                                                          [this]
                                                          {
                                                              tick(*this);
                                                          }),
      m_started_at(boot_now()), m_incarnation(random_loan_id())
{
}

void run_site_task(const site_settings& settings, const site_codec& codec,
                   const site_charts& charts, const store_factory& store,
                   site_mailboxes& boxes)
{
    site_task_state t(settings, codec, charts, store, boxes);
    boxes.m_site.attach(t.m_loop,
                        [&](site_message& m)
                        {
                            handle_message(t, m);
                        });
    start_true_time(t);
    start_peers(t);
    t.m_peer_server->drop_failed(
        [](connection_id, const std::exception& e)
        {
            log_event(event_id::peer_connection_failed,
                      {{"failure", e.what()}});
        });
    start_watches(t);
    t.m_tick.start_periodic(site_tick);
    run(t.m_loop);
}

}
