#include <session/usage_task_state.hpp>

#include <string>
#include <utility>

#include <report/event.hpp>
#include <session/milliseconds_of.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

duration lateness(const usage_task_state& t, time_point now)
{
    return time_at(t.m_clock_offset, now) -
           window_end(t.m_report->m_window, t.m_settings.m_report_window) -
           t.m_settings.m_usage_delay;
}

std::string sum_of(const usage_counts& counts)
{
    std::uint64_t sum = 0;
    for (const auto& [workspace, count] : counts)
        sum += count;
    return std::to_string(sum);
}

void log_report(const usage_task_state& t, event_id id,
                usage_call_result result, time_point now)
{
    const usage_report& r = *t.m_report;
    log_event(id, {{"window", std::to_string(r.m_window)},
                   {"token", std::to_string(t.m_duty.m_seen->m_record.m_token)},
                   {"workspaces", std::to_string(r.m_counts.size())},
                   {"sum", sum_of(r.m_counts)},
                   {"heard", std::to_string(t.m_heard)},
                   {"missing", std::to_string(t.m_missing)},
                   {"repeated", t.m_is_repeated ? "yes" : "no"},
                   {"outcome", std::string(to_string(result))},
                   {"late_ms", milliseconds_of(lateness(t, now))}});
}

void fire(usage_task_state& t, usage_report_event event);

void handle_result(usage_task_state& t, usage_call_result result)
{
    t.m_call_pending = false;
    // The duty was lost meanwhile; the stored report is sent again by the next
    // holder.
    if (t.m_state != usage_report_state::sending)
        return;
    const time_point now = boot_now();
    const bool is_settled = result == usage_call_result::accepted ||
                            result == usage_call_result::refused;
    log_report(t,
               is_settled ? event_id::usage_reported
                          : event_id::usage_report_delayed,
               result, now);
    if (result == usage_call_result::accepted)
    {
        ++t.m_counts.m_accepted;
        t.m_counts.m_late += lateness(t, now) > duration::zero() ? 1U : 0U;
    }
    else if (is_settled)
        ++t.m_counts.m_refused;
    fire(t, is_settled ? usage_report_event::settled
                       : usage_report_event::unsettled);
}

void send_report(usage_task_state& t)
{
    // A holder that was paused since the write ends its duty at the next tick.
    if (!holds_duty(t.m_duty, boot_now()))
        return;
    if (t.m_is_repeated)
        ++t.m_counts.m_repeated;
    t.m_call_pending = true;
    t.m_send_usage({t.m_report->m_window, t.m_report->m_counts,
                    t.m_settings.m_name, t.m_duty.m_seen->m_record.m_token},
                   [&t](usage_call_result result)
                   {
                       handle_result(t, result);
                   });
}

void record_report(usage_task_state& t)
{
    t.m_last_window = t.m_report->m_window;
    t.m_is_repeated = false;
    record_duty(t.m_duty);
}

// The next renewal stores that no successor needs the counts any more.
void finish_report(usage_task_state& t)
{
    t.m_counts.m_members_missing = t.m_missing;
    t.m_report->m_is_accepted = true;
    t.m_report->m_counts.clear();
}

void run_action(usage_task_state& t, usage_report_action action)
{
    switch (action)
    {
    case usage_report_action::record:
        return record_report(t);
    case usage_report_action::send_report:
        return send_report(t);
    case usage_report_action::finish:
        return finish_report(t);
    case usage_report_action::pause:
        t.m_is_repeated = true;
        t.m_retry_at = boot_now() + report_retry_delay;
        return;
    }
}

void fire(usage_task_state& t, usage_report_event event)
{
    t.m_charts.m_usage_report.fire(t.m_state, event,
                                   [&](usage_report_action action)
                                   {
                                       run_action(t, action);
                                   });
}

void begin_duty(usage_task_state& t, const duty_record& record)
{
    t.m_report = record.m_report;
    t.m_last_window.reset();
    if (t.m_report)
        t.m_last_window = t.m_report->m_window;
    t.m_collected.clear();
    t.m_heard = 0;
    t.m_missing = 0;
    t.m_is_repeated = true;
    t.m_boxes.m_site.post(usage_duty_changed{true, t.m_last_window});
    fire(t, t.m_report && !t.m_report->m_is_accepted
                ? usage_report_event::duty_gained_unsent
                : usage_report_event::duty_gained);
}

void end_duty(usage_task_state& t)
{
    // A call that is on its way may still arrive within max_order_delay.
    t.m_acquire_at =
        boot_now() + t.m_settings.m_lease_duration + max_order_delay;
    t.m_duty.m_record_is_outdated = false;
    t.m_boxes.m_site.post(usage_duty_changed{false, std::nullopt});
    fire(t, usage_report_event::duty_lost);
}

void skip_windows(usage_task_state& t, window_id kept)
{
    const window_id first = *t.m_last_window + 1;
    log_event(event_id::usage_windows_skipped,
              {{"first", std::to_string(first)},
               {"last", std::to_string(kept - 1)},
               {"cause", "no process has their counts any more"}});
    t.m_counts.m_skipped += kept - first;
    t.m_last_window = kept - 1;
}

void begin_next_report(usage_task_state& t, time_point now)
{
    const report_choice choice = choose_report(
        t.m_last_window, t.m_collected, time_at(t.m_clock_offset, now),
        {t.m_settings.m_report_window, t.m_settings.m_usage_delay});
    if (choice.m_step == report_step::skip)
        return skip_windows(t, choice.m_window);
    if (choice.m_step == report_step::wait)
        return;
    const collected_window& window = t.m_collected.at(choice.m_window);
    t.m_report = usage_report{choice.m_window, window.m_counts, false};
    t.m_heard = window.m_heard;
    t.m_missing = window.m_missing;
    fire(t, usage_report_event::window_due);
}

}

std::string_view to_string(usage_call_result result) noexcept
{
    switch (result)
    {
    case usage_call_result::accepted:
        return "accepted";
    case usage_call_result::throttled:
        return "throttled";
    case usage_call_result::refused:
        return "refused";
    case usage_call_result::unavailable:
        return "unavailable";
    case usage_call_result::unknown:
        break;
    }
    return "unknown";
}

duty_handlers make_usage_duty_handlers(usage_task_state& t)
{
    return {[&t](const duty_record& record)
            {
                begin_duty(t, record);
            },
            [&t]
            {
                end_duty(t);
            },
            [&t](duty_record& record)
            {
                record.m_report = t.m_report;
            },
            [&t]
            {
                fire(t, usage_report_event::recorded);
            }};
}

void advance_reports(usage_task_state& t, time_point now)
{
    if (t.m_stopping)
        return;
    if (t.m_state == usage_report_state::collecting)
        begin_next_report(t, now);
    else if (t.m_state == usage_report_state::pausing && now >= t.m_retry_at)
        fire(t, usage_report_event::pause_over);
}

}
