#include <session/failover_task_state.hpp>

#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

constexpr std::string_view duty_name = "failover";
// The delay before the next call after a failed one.
constexpr std::chrono::milliseconds duty_retry{250};
// How long stale answers are avoided after one that was older than the known
// revision. They may be seconds behind, and a takeover must not wait for that.
constexpr std::chrono::seconds stale_avoidance_time{5};

bool is_holder(const failover_task_state& t)
{
    return t.m_duty && t.m_duty->m_record.m_holder == t.m_settings.m_name &&
           t.m_duty->m_record.m_incarnation == t.m_incarnation;
}

void request_reports(failover_task_state& t, bool enabled)
{
    t.m_boxes.m_session.post(reporting_changed{enabled});
}

void lose_duty(failover_task_state& t, std::string_view cause)
{
    if (t.m_renewed_at == time_point{})
        return;
    t.m_renewed_at = {};
    log_event(event_id::duty_lost, {{"cause", std::string(cause)}});
    request_reports(t, false);
    handle_duty_lost(t);
}

void gain_duty(failover_task_state& t, time_point sent_at)
{
    const bool was_holder = t.m_renewed_at != time_point{};
    t.m_renewed_at = std::max(t.m_renewed_at, sent_at);
    if (was_holder)
        return;
    log_event(event_id::duty_taken,
              {{"token", std::to_string(t.m_duty->m_record.m_token)}});
    request_reports(t, true);
    for (auto& [service, g] : t.m_groups)
        g.m_report = {};
    for (const auto& [service, size] : t.m_duty->m_record.m_group_sizes)
    {
        failover_group& g = t.m_groups[service];
        g.m_size = std::max(g.m_size, size);
    }
    // The previous holder sends no order after this process has the duty.
    const time_point expires_at = boot_now() + promotion_order_lifetime;
    for (const auto& [service, ordered] :
         t.m_duty->m_record.m_pending_promotions)
        t.m_groups[service].m_ordered = {ordered.m_endpoint, expires_at};
}

void observe_record(failover_task_state& t, const stored_object& o)
{
    auto record = t.m_site_codec.m_read_duty(o.m_value);
    if (!record)
    {
        log_event(event_id::store_entry_unreadable,
                  {{"kind", "duties"}, {"name", o.m_name}});
        record.emplace();
    }
    t.m_duty =
        observe_duty(t.m_duty, o.m_revision, std::move(*record), boot_now());
    if (!is_holder(t))
        lose_duty(t, "another holder");
}

void write_duty(failover_task_state& t, const duty_record& record);

// Returns the record with the pending promotions and group sizes that this
// process has decided on.
duty_record with_orders(const failover_task_state& t, duty_record record)
{
    record.m_pending_promotions.clear();
    for (const auto& [service, g] : t.m_groups)
    {
        const std::string_view ordered =
            g.m_successor.empty() ? pending_endpoint(g.m_ordered, boot_now())
                                  : std::string_view(g.m_successor);
        if (!ordered.empty())
            record.m_pending_promotions[service] = {std::string(ordered),
                                                    g.m_term};
        record.m_group_sizes[service] = g.m_size;
    }
    return record;
}

void renew(failover_task_state& t)
{
    duty_record record = with_orders(t, t.m_duty->m_record);
    ++record.m_renewals;
    t.m_record_is_outdated = false;
    write_duty(t, record);
}

void read_duty(failover_task_state& t, bool allow_stale)
{
    t.m_duty_call_pending = true;
    t.m_store.m_list(
        stored_kind::duties, allow_stale,
        [&t, allow_stale](store_answer& a)
        {
            t.m_duty_call_pending = false;
            const time_point now = boot_now();
            t.m_next_duty_call_at =
                now + (a.m_failure ? duration(duty_retry)
                                   : duration(duty_renewal_interval));
            if (a.m_failure)
                return;
            bool found = false;
            for (const stored_change& c : a.m_changes)
                if (c.m_object.m_name == duty_name)
                {
                    found = true;
                    if (t.m_duty &&
                        c.m_object.m_revision < t.m_duty->m_revision)
                        t.m_avoid_stale_until = now + stale_avoidance_time;
                    observe_record(t, c.m_object);
                }
            if (!found && !t.m_duty)
                t.m_duty = duty_observation{0, {}, now};
            if (t.m_stopping || is_holder(t) || !t.m_duty ||
                !may_acquire_duty(*t.m_duty, t.m_settings.m_name,
                                  t.m_incarnation, now))
                return;
            // The duty is acquired only on a current answer.
            if (allow_stale)
                return read_duty(t, false);
            write_duty(t, acquire_duty(t.m_duty->m_record, t.m_settings.m_name,
                                       t.m_incarnation));
        });
}

void write_duty(failover_task_state& t, const duty_record& record)
{
    t.m_duty_call_pending = true;
    const time_point sent_at = boot_now();
    t.m_store.m_write(stored_kind::duties,
                      {std::string(duty_name), t.m_duty->m_revision,
                       t.m_site_codec.m_write_duty(record)},
                      [&t, sent_at](write_answer& a)
                      {
                          t.m_duty_call_pending = false;
                          const time_point now = boot_now();
                          if (a.m_object)
                              observe_record(t, *a.m_object);
                          if (a.m_failure)
                          {
                              // Whether the write took effect is read from the
                              // object.
                              t.m_next_duty_call_at = now + duty_retry;
                              t.m_record_is_outdated =
                                  t.m_record_is_outdated || is_holder(t);
                              if (a.m_failure != store_failure::unavailable)
                                  read_duty(t, false);
                              return;
                          }
                          t.m_next_duty_call_at = now + duty_renewal_interval;
                          if (!is_holder(t))
                              return;
                          gain_duty(t, sent_at);
                          if (!t.m_record_is_outdated)
                              handle_orders_recorded(t);
                      });
}

}

bool holds_duty(const failover_task_state& t, time_point now)
{
    return is_holder(t) && may_order_promotion(t.m_renewed_at, now);
}

void advance_duty(failover_task_state& t, time_point now)
{
    if (t.m_renewed_at != time_point{} &&
        !may_order_promotion(t.m_renewed_at, now))
        lose_duty(t, "not renewed");
    if (t.m_duty_call_pending || t.m_stopping)
        return;
    if (now < t.m_next_duty_call_at && !t.m_record_is_outdated)
        return;
    if (is_holder(t))
        renew(t);
    else
        read_duty(t, now >= t.m_avoid_stale_until);
}

void record_orders(failover_task_state& t)
{
    t.m_record_is_outdated = true;
    if (!t.m_duty_call_pending)
        advance_duty(t, boot_now());
}

void release_duty(failover_task_state& t)
{
    if (!is_holder(t) || t.m_duty_call_pending)
    {
        t.m_boxes.m_life.post(stop_done{"failover"});
        return;
    }
    duty_record record = with_orders(t, t.m_duty->m_record);
    record.m_holder.clear();
    ++record.m_renewals;
    lose_duty(t, "stopping");
    t.m_store.m_write(stored_kind::duties,
                      {std::string(duty_name), t.m_duty->m_revision,
                       t.m_site_codec.m_write_duty(record)},
                      [&t](write_answer&)
                      {
                          t.m_boxes.m_life.post(stop_done{"failover"});
                      });
}

}
