#include <session/usage_task.hpp>

#include <algorithm>
#include <array>

#include <model/overloaded.hpp>
#include <peer/loan_id.hpp>
#include <session/usage_task_state.hpp>
#include <task/boot_clock.hpp>
#include <task/wall_clock.hpp>

namespace bluebellspoke
{

namespace
{

void report_stop(usage_task_state& t)
{
    t.m_boxes.m_life.post(stop_done{"usage"});
}

// A successor may send as soon as the duty is released, so a call that is on
// its way is awaited first. It ends within max_order_delay.
void advance_stop(usage_task_state& t)
{
    if (!t.m_stopping || t.m_call_pending || t.m_stop_reported)
        return;
    t.m_stop_reported = true;
    release_duty(t.m_duty,
                 [&t]
                 {
                     report_stop(t);
                 });
}

// The platform forbids holders that act in the order A, B, A within the lease
// duration. A process that lost the duty, or has just started, may be the
// second A unless the record still names it.
bool may_hold(const usage_task_state& t, time_point now)
{
    if (is_recorded_holder(t.m_duty))
        return t.m_is_candidate || t.m_call_pending;
    return t.m_is_candidate && now >= t.m_acquire_at;
}

void tick(usage_task_state& t)
{
    const time_point now = boot_now();
    note_tick(t.m_usage, now);
    t.m_duty.m_may_hold = may_hold(t, now);
    advance_duty(t.m_duty, now);
    advance_reports(t, now);
    advance_stop(t);
}

metric_families collect_reports(const usage_task_state& t)
{
    metric_families families;
    const usage_report_counts& c = t.m_counts;
    const auto add_reports = [&](std::string_view outcome, std::uint64_t count)
    {
        add_value(families, metric_id::usage_reports, std::array{outcome},
                  static_cast<double>(count));
    };
    add_reports("accepted", c.m_accepted);
    add_reports("refused", c.m_refused);
    add_reports("late", c.m_late);
    add_reports("repeated", c.m_repeated);
    add_reports("skipped", c.m_skipped);
    add_value(families, metric_id::usage_members_missing, {},
              static_cast<double>(c.m_members_missing));
    add_value(families, metric_id::usage_duty_held, {},
              holds_duty(t.m_duty, boot_now()) ? 1 : 0);
    add_value(families, metric_id::duty_calls, std::array{t.m_duty.m_name},
              static_cast<double>(t.m_duty.m_calls));
    collect_usage(families, t.m_usage);
    return families;
}

void handle_message(usage_task_state& t, usage_message& message)
{
    std::visit(
        overloaded{
            [&](const true_time_changed& m)
            {
                t.m_clock_offset = m.m_offset;
            },
            [&](const usage_candidacy& m)
            {
                t.m_is_candidate = m.m_is_candidate;
            },
            [&](usage_collected& m)
            {
                t.m_collected = std::move(m.m_windows);
            },
            [&](const stop_begun&)
            {
                t.m_stopping = true;
                advance_stop(t);
            },
            [&](const metrics_request&)
            {
                t.m_boxes.m_life.post(
                    metrics_response{"usage", collect_reports(t)});
            },
            [&](const task_stop&)
            {
                stop(t.m_loop);
            },
        },
        message);
}

}

usage_task_state::usage_task_state(const site_settings& settings,
                                   const usage_dependencies& dependencies,
                                   const site_charts& charts,
                                   site_mailboxes& boxes)
    : m_settings(settings), m_charts(charts), m_boxes(boxes),
      m_loop(make_loop()), m_store(dependencies.m_make_store(m_loop)),
      m_send_usage(dependencies.m_make_usage_client(m_loop)),
      m_tick(m_loop,
             [this]
             {
                 tick(*this);
             }),
      m_duty{.m_name = "usage",
             .m_kind = stored_kind::usage_duties,
             .m_settings = m_settings,
             .m_codec = dependencies.m_site_codec,
             .m_store = m_store,
             .m_handlers = make_usage_duty_handlers(*this),
             .m_incarnation = random_loan_id()},
      m_acquire_at(boot_now() + settings.m_lease_duration + max_order_delay),
      m_clock_offset(offset_of(wall_now(), boot_now()))
{
}

void run_usage_task(const site_settings& settings,
                    const usage_dependencies& dependencies,
                    const site_charts& charts, site_mailboxes& boxes)
{
    usage_task_state t(settings, dependencies, charts, boxes);
    boxes.m_usage.attach(t.m_loop,
                         [&](usage_message& m)
                         {
                             handle_message(t, m);
                         });
    t.m_tick.start_periodic(usage_tick);
    run(t.m_loop);
}

}
