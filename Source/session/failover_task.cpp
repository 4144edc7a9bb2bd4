#include <session/failover_task.hpp>

#include <array>

#include <model/overloaded.hpp>
#include <peer/loan_id.hpp>
#include <session/failover_task_state.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

void tick(failover_task_state& t)
{
    const time_point now = boot_now();
    note_tick(t.m_usage, now);
    t.m_duty.m_may_hold = t.m_is_candidate || is_recorded_holder(t.m_duty);
    advance_duty(t.m_duty, now);
    advance_groups(t, now);
}

void store_report(failover_task_state& t, const primary_report& m)
{
    failover_group& g = t.m_groups[m.m_service];
    if (m.m_term < g.m_report.m_term)
        return;
    g.m_report = m;
    g.m_newest_term = std::max(g.m_newest_term, m.m_term);
    if (m.m_primary.empty())
        return;
    g.m_primary_contact_at = m.m_evidence.m_last_contact_at;
    if (m.m_term >= g.m_end.m_term &&
        m.m_evidence.m_last_contact_at > g.m_end_found_at)
        g.m_end = {};
    g.m_last_primary = m.m_primary;
    g.m_last_primary_term = m.m_term;
}

void collect_counts(metric_families& families, const failover_counts& c)
{
    for (const auto& [reason, count] : c.m_begun)
        add_value(families, metric_id::takeovers_begun,
                  std::array{to_string(reason)}, static_cast<double>(count));
    add_value(families, metric_id::fences_lost, {},
              static_cast<double>(c.m_fences_lost));
    for (const auto& [result, count] : c.m_orders)
        add_value(families, metric_id::promotion_orders,
                  std::array{to_string(result)}, static_cast<double>(count));
    add_value(families, metric_id::takeover_members_joined, {},
              static_cast<double>(c.m_joined));
}

metric_families collect_failover(const failover_task_state& t)
{
    metric_families families;
    add_value(families, metric_id::promotions, {},
              static_cast<double>(t.m_promotions));
    add_value(families, metric_id::duty_held, {},
              holds_duty(t.m_duty, boot_now()) ? 1 : 0);
    add_value(families, metric_id::duty_calls, std::array{t.m_duty.m_name},
              static_cast<double>(t.m_duty.m_calls));
    collect_counts(families, t.m_counts);
    collect_usage(families, t.m_usage);
    return families;
}

void handle_message(failover_task_state& t, failover_message& message)
{
    std::visit(
        overloaded{
            [&](const config_changed& m)
            {
                t.m_config = m.m_config;
            },
            [&](const endpoints_changed& m)
            {
                log_members_changed(t, *m.m_snapshot);
                t.m_endpoints = m.m_snapshot;
                update_log_locations(t);
            },
            [&](const primary_report& m)
            {
                store_report(t, m);
            },
            [&](const stop_begun&)
            {
                t.m_stopping = true;
                release_duty(t.m_duty,
                             [&t]
                             {
                                 t.m_boxes.m_life.post(stop_done{"failover"});
                             });
            },
            [&](const metrics_request&)
            {
                t.m_boxes.m_life.post(
                    metrics_response{"failover", collect_failover(t)});
            },
            [&](const task_stop&)
            {
                stop(t.m_loop);
            },
            [&](const failover_candidacy& m)
            {
                t.m_is_candidate = m.m_is_candidate;
            },
        },
        message);
}

}

failover_task_state::failover_task_state(
    const site_settings& settings, const failover_dependencies& dependencies,
    const site_charts& charts, site_mailboxes& boxes)
    : m_settings(settings), m_session_codec(dependencies.m_session_codec),
      m_site_codec(dependencies.m_site_codec), m_charts(charts), m_boxes(boxes),
      m_loop(make_loop()), m_store(dependencies.m_make_store(m_loop)),
      m_send_promotion(dependencies.m_make_promotion_client(m_loop)),
      m_tick(m_loop,
             [this]
             {
                 tick(*this);
             }),
      m_duty{.m_name = "failover",
             .m_kind = stored_kind::duties,
             .m_settings = m_settings,
             .m_codec = m_site_codec,
             .m_store = m_store,
             .m_handlers = make_duty_handlers(*this),
             .m_incarnation = random_loan_id()}
{
}

void run_failover_task(const site_settings& settings,
                       const failover_dependencies& dependencies,
                       const site_charts& charts, site_mailboxes& boxes)
{
    failover_task_state t(settings, dependencies, charts, boxes);
    boxes.m_failover.attach(t.m_loop,
                            [&](failover_message& m)
                            {
                                handle_message(t, m);
                            });
    t.m_tick.start_periodic(failover_tick);
    run(t.m_loop);
}

}
