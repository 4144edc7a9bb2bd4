#include <session/failover_task_state.hpp>

#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

void request_reports(failover_task_state& t, bool enabled)
{
    t.m_boxes.m_session.post(reporting_changed{enabled});
}

void begin_duty(failover_task_state& t, const duty_record& record)
{
    request_reports(t, true);
    for (auto& [service, g] : t.m_groups)
        g.m_report = {};
    adopt_recorded_logs(t, record, t.m_duty.m_predecessor_seen_at);
    // The previous holder sends no order after this process has the duty.
    const time_point expires_at = boot_now() + promotion_order_lifetime;
    for (const auto& [service, ordered] : record.m_pending_promotions)
        t.m_groups[service].m_ordered = {ordered.m_endpoint, expires_at,
                                         ordered.m_term};
}

// Sets the pending promotions and group sizes that this process has decided
// on.
void fill_record(const failover_task_state& t, duty_record& record)
{
    record.m_pending_promotions.clear();
    record.m_gone_logs.emplace();
    for (const auto& [service, g] : t.m_groups)
    {
        const std::string_view ordered =
            pending_endpoint(g.m_ordered, boot_now());
        if (!g.m_successor.empty())
            record.m_pending_promotions[service] = {g.m_successor,
                                                    g.m_old_term + 1};
        else if (!ordered.empty())
            record.m_pending_promotions[service] = {std::string(ordered),
                                                    g.m_ordered.m_term};
        record_logs(g, service, record);
    }
}

}

duty_handlers make_duty_handlers(failover_task_state& t)
{
    return {[&t](const duty_record& record)
            {
                begin_duty(t, record);
            },
            [&t]
            {
                request_reports(t, false);
                handle_duty_lost(t);
            },
            [&t](duty_record& record)
            {
                fill_record(t, record);
            },
            [&t]
            {
                handle_orders_recorded(t);
            }};
}

}
