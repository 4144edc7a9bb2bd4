#include <session/duty_client.hpp>

#include <algorithm>
#include <string>
#include <utility>

#include <report/event.hpp>

namespace bluebellspoke
{

namespace
{

// The delay before the next call after a failed one.
constexpr std::chrono::milliseconds duty_retry{250};
// How long stale answers are avoided after one that was older than the known
// revision. They may be seconds behind, and a takeover must not wait for that.
constexpr std::chrono::seconds stale_avoidance_time{5};

void lose_duty(duty_client& d, std::string_view cause)
{
    if (d.m_renewed_at == time_point{})
        return;
    d.m_renewed_at = {};
    log_event(event_id::duty_lost,
              {{"duty", std::string(d.m_name)}, {"cause", std::string(cause)}});
    d.m_handlers.m_on_lost();
}

void gain_duty(duty_client& d, time_point sent_at)
{
    const bool was_holder = d.m_renewed_at != time_point{};
    d.m_renewed_at = std::max(d.m_renewed_at, sent_at);
    if (was_holder)
        return;
    d.m_has_taken_over = true;
    const duty_record& record = d.m_seen->m_record;
    log_event(event_id::duty_taken,
              {{"duty", std::string(d.m_name)},
               {"token", std::to_string(record.m_token)}});
    d.m_handlers.m_on_gained(record);
}

void observe_record(duty_client& d, const stored_object& o)
{
    auto record = d.m_codec.m_read_duty(o.m_value);
    if (!record)
    {
        log_event(
            event_id::store_entry_unreadable,
            {{"kind", std::string(to_string(d.m_kind))}, {"name", o.m_name}});
        record.emplace();
    }
    d.m_seen =
        observe_duty(d.m_seen, o.m_revision, std::move(*record), d.m_now());
    if (is_recorded_holder(d))
        return;
    d.m_has_taken_over = false;
    lose_duty(d, "another holder");
}

stored_object make_object(const duty_client& d, const duty_record& record)
{
    return {std::string(d.m_name), d.m_seen->m_revision,
            d.m_codec.m_write_duty(record)};
}

duty_record next_record(const duty_client& d)
{
    duty_record record = d.m_seen->m_record;
    if (d.m_has_taken_over)
        d.m_handlers.m_fill(record);
    ++record.m_renewals;
    return record;
}

void read_duty(duty_client& d, bool allow_stale);

void write_duty(duty_client& d, const duty_record& record)
{
    d.m_call_pending = true;
    ++d.m_calls;
    const time_point sent_at = d.m_now();
    d.m_store.m_write(d.m_kind, make_object(d, record),
                      [&d, sent_at](write_answer& a)
                      {
                          d.m_call_pending = false;
                          const time_point now = d.m_now();
                          if (a.m_object)
                              observe_record(d, *a.m_object);
                          if (a.m_failure)
                          {
                              // Whether the write took effect is read from the
                              // object.
                              d.m_next_call_at = now + duty_retry;
                              d.m_record_is_outdated = d.m_record_is_outdated ||
                                                       is_recorded_holder(d);
                              if (a.m_failure != store_failure::unavailable)
                                  read_duty(d, false);
                              return;
                          }
                          d.m_next_call_at = now + duty_renewal_interval;
                          if (!is_recorded_holder(d))
                              return;
                          gain_duty(d, sent_at);
                          if (!d.m_record_is_outdated)
                              d.m_handlers.m_on_recorded();
                      });
}

void renew(duty_client& d)
{
    const duty_record record = next_record(d);
    d.m_record_is_outdated = false;
    write_duty(d, record);
}

void read_duty(duty_client& d, bool allow_stale)
{
    d.m_call_pending = true;
    ++d.m_calls;
    d.m_store.m_list(
        d.m_kind, allow_stale,
        [&d, allow_stale](store_answer& a)
        {
            d.m_call_pending = false;
            const time_point now = d.m_now();
            d.m_next_call_at =
                now + (a.m_failure ? duration(duty_retry)
                                   : duration(duty_renewal_interval));
            if (a.m_failure)
                return;
            bool found = false;
            for (const stored_change& c : a.m_changes)
                if (c.m_object.m_name == d.m_name)
                {
                    found = true;
                    if (d.m_seen &&
                        c.m_object.m_revision < d.m_seen->m_revision)
                        d.m_avoid_stale_until = now + stale_avoidance_time;
                    observe_record(d, c.m_object);
                }
            if (!found && !d.m_seen)
                d.m_seen = duty_observation{0, {}, now};
            if (d.m_stopping || !d.m_may_hold || is_recorded_holder(d) ||
                !d.m_seen ||
                !may_acquire_duty(*d.m_seen, d.m_settings.m_name,
                                  d.m_incarnation, now))
                return;
            // The duty is acquired only on a current answer.
            if (allow_stale)
                return read_duty(d, false);
            write_duty(d, acquire_duty(d.m_seen->m_record, d.m_settings.m_name,
                                       d.m_incarnation));
        });
}

void write_release(duty_client& d, std::string_view cause,
                   std::function<void()> done)
{
    duty_record record = next_record(d);
    record.m_holder.clear();
    lose_duty(d, cause);
    d.m_call_pending = true;
    ++d.m_calls;
    d.m_store.m_write(d.m_kind, make_object(d, record),
                      [&d, done = std::move(done)](write_answer& a)
                      {
                          d.m_call_pending = false;
                          d.m_next_call_at = d.m_now() + duty_retry;
                          if (a.m_object)
                              observe_record(d, *a.m_object);
                          else if (a.m_failure && !d.m_stopping &&
                                   a.m_failure != store_failure::unavailable)
                              read_duty(d, false);
                          done();
                      });
}

}

bool is_recorded_holder(const duty_client& d)
{
    return d.m_seen && d.m_seen->m_record.m_holder == d.m_settings.m_name &&
           d.m_seen->m_record.m_incarnation == d.m_incarnation;
}

bool holds_duty(const duty_client& d, time_point now)
{
    return is_recorded_holder(d) && may_order_promotion(d.m_renewed_at, now);
}

void advance_duty(duty_client& d, time_point now)
{
    if (d.m_renewed_at != time_point{} &&
        !may_order_promotion(d.m_renewed_at, now))
        lose_duty(d, "not renewed");
    if (d.m_call_pending || d.m_stopping)
        return;
    if (now < d.m_next_call_at && !(d.m_record_is_outdated && d.m_may_hold))
        return;
    if (is_recorded_holder(d) && d.m_may_hold)
        renew(d);
    else if (is_recorded_holder(d))
        write_release(d, "no longer a candidate", [] {});
    else if (d.m_may_hold)
        read_duty(d, now >= d.m_avoid_stale_until);
}

void record_duty(duty_client& d)
{
    d.m_record_is_outdated = true;
    if (!d.m_call_pending)
        advance_duty(d, d.m_now());
}

void release_duty(duty_client& d, std::function<void()> done)
{
    d.m_stopping = true;
    if (!is_recorded_holder(d) || d.m_call_pending)
        return done();
    write_release(d, "stopping", std::move(done));
}

}
