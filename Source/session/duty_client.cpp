#include <session/duty_client.hpp>

#include <algorithm>
#include <string>
#include <utility>

#include <report/event.hpp>
#include <session/milliseconds_of.hpp>

namespace bluebellspoke
{

namespace
{

// The delay before the next call after a failed one.
constexpr std::chrono::milliseconds duty_retry{250};
// How long stale answers are avoided after one that was older than the known
// revision. They may be seconds behind, and a takeover must not wait for that.
constexpr std::chrono::seconds stale_avoidance_time{5};
// With 80 % of the writes unanswered, one in five proves a renewal. Four at
// once, each within duty_write_timeout, are about 30 attempts a second.
constexpr std::size_t max_writes_in_flight = 4;
// The interval between renewals while writes remain unanswered, and how long
// after the last one. It leaves more of the duty's validity for attempts.
constexpr std::chrono::milliseconds degraded_renewal_interval{300};
constexpr std::chrono::seconds degraded_time{2};
// The renewals sent at once meanwhile; each may be the one that is answered.
constexpr int degraded_writes = 2;
// How long an unanswered read delays the next write.
constexpr std::chrono::milliseconds max_check_time{300};

// Its right may have expired since the last tick.
bool is_held(const duty_client& d)
{
    return d.m_renewed_at != time_point{};
}

void lose_duty(duty_client& d, std::string_view cause)
{
    if (!is_held(d))
        return;
    const duration age = d.m_now() - std::exchange(d.m_renewed_at, {});
    log_event(event_id::duty_lost,
              {{"duty", std::string(d.m_name)},
               {"cause", std::string(cause)},
               {"unanswered_writes", std::to_string(d.m_unanswered_writes)},
               {"renewed_ms_ago", milliseconds_of(age)}});
    d.m_handlers.m_on_lost();
}

void gain_duty(duty_client& d, time_point sent_at)
{
    const bool was_holder = is_held(d);
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

bool is_store_degraded(const duty_client& d, time_point now)
{
    return d.m_unanswered_at != time_point{} &&
           now < d.m_unanswered_at + degraded_time;
}

// Proves that a write was carried out: it is answered, or its record is seen.
// The holder's right counts from before it was sent.
void prove_write(duty_client& d, const sent_duty_write& w)
{
    const time_point now = d.m_now();
    if (!may_order_promotion(w.m_sent_at, now))
        return;
    d.m_next_call_at =
        now + (is_store_degraded(d, now) ? degraded_renewal_interval
                                         : duty_renewal_interval);
    d.m_is_unchecked = false;
    gain_duty(d, w.m_sent_at);
    // A record that was written later is based on this one, and on no less of
    // what the task has decided.
    if (w.m_changes != d.m_changes)
        return;
    d.m_record_is_outdated = false;
    d.m_handlers.m_on_recorded();
}

void observe_record(duty_client& d, const stored_object& o)
{
    if (d.m_seen && o.m_revision <= d.m_seen->m_revision)
        return;
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
    if (!is_recorded_holder(d))
    {
        d.m_has_taken_over = false;
        d.m_sent.clear();
        return lose_duty(d, "another holder");
    }
    if (d.m_stopping || !d.m_may_hold)
        return;
    const auto sent = std::ranges::find(d.m_sent, d.m_seen->m_record.m_renewals,
                                        &sent_duty_write::m_renewals);
    if (sent != d.m_sent.end())
        prove_write(d, sent_duty_write(*sent));
}

stored_object make_object(const duty_client& d, const duty_record& record)
{
    return {std::string(d.m_name), d.m_seen->m_revision,
            d.m_codec.m_write_duty(record)};
}

duty_record next_record(duty_client& d)
{
    duty_record record = d.m_seen->m_record;
    if (d.m_has_taken_over)
        d.m_handlers.m_fill(record);
    // Several writes may follow the same record, so it alone can't number them.
    d.m_last_renewals = std::max(d.m_last_renewals, record.m_renewals) + 1;
    record.m_renewals = d.m_last_renewals;
    return record;
}

void note_answer(duty_client& d, std::optional<store_failure> failure,
                 time_point sent_at, time_point now)
{
    if (failure != store_failure::unreachable)
        note_answer_time(d.m_pace, now - sent_at);
}

// A refusal is an answer, too, but renews nothing: the writes before it stay
// counted.
void count_answer(duty_client& d, const write_answer& a)
{
    if (!a.m_failure)
        d.m_unanswered_writes = 0;
    else if (a.m_failure != store_failure::unreachable &&
             d.m_unanswered_writes > 0)
        --d.m_unanswered_writes;
}

// Counts the write as in flight until `done` has its answer.
void send_write(duty_client& d, const duty_record& record,
                std::function<void(write_answer&)> done)
{
    ++d.m_writes_in_flight;
    ++d.m_unanswered_writes;
    ++d.m_calls;
    d.m_store.m_write(
        d.m_kind, make_object(d, record),
        [&d, sent_at = d.m_now(), done = std::move(done)](write_answer& a)
        {
            --d.m_writes_in_flight;
            count_answer(d, a);
            note_answer(d, a.m_failure, sent_at, d.m_now());
            done(a);
        });
}

void read_duty(duty_client& d, bool allow_stale);
void advance_renewal(duty_client& d, time_point now);

void handle_renewed(duty_client& d, const sent_duty_write& w, write_answer& a)
{
    const time_point now = d.m_now();
    if (a.m_object)
        observe_record(d, *a.m_object);
    if (!is_recorded_holder(d))
    {
        d.m_next_call_at = now + duty_renewal_interval;
        return;
    }
    if (a.m_failure == store_failure::unreachable)
        d.m_unanswered_at = now;
    // Another write of this process has been carried out instead.
    const bool is_outrun = d.m_seen->m_revision > w.m_revision;
    const bool is_proven = d.m_renewed_at >= w.m_sent_at;
    if (!is_proven && (a.m_failure == store_failure::unavailable ||
                       (a.m_object && is_outrun)))
    {
        d.m_is_unchecked = false;
        d.m_next_call_at = now;
    }
    if (a.m_failure != store_failure::unavailable)
        advance_renewal(d, now);
}

void renew(duty_client& d)
{
    const time_point now = d.m_now();
    const duty_record record = next_record(d);
    const sent_duty_write w{record.m_renewals, d.m_seen->m_revision, now,
                            d.m_changes};
    std::erase_if(d.m_sent,
                  [now](const sent_duty_write& sent)
                  {
                      return !may_order_promotion(sent.m_sent_at, now);
                  });
    d.m_sent.push_back(w);
    d.m_last_write_at = now;
    d.m_is_unchecked = true;
    d.m_next_call_at = now + duty_hedge_delay(d.m_pace);
    send_write(d, record,
               [&d, w](write_answer& a)
               {
                   handle_renewed(d, w, a);
               });
}

// A change waits for the write before it, which normally is answered at once;
// a write after the same revision would conflict with that.
bool is_renewal_due(const duty_client& d, time_point now)
{
    if (now >= d.m_next_call_at)
        return true;
    return d.m_record_is_outdated && is_held(d) &&
           (d.m_writes_in_flight == 0 ||
            now >= d.m_last_write_at + duty_hedge_delay(d.m_pace));
}

// Renews the duty if that is due. After an unanswered write the record is read
// first: the write may have been carried out, and what is read is the revision
// that the next write needs.
void advance_renewal(duty_client& d, time_point now)
{
    if (d.m_stopping || !d.m_may_hold || !is_recorded_holder(d) ||
        !is_renewal_due(d, now))
        return;
    if (d.m_is_unchecked)
    {
        if (!d.m_read_pending)
            return read_duty(d, false);
        if (!is_held(d) || now < d.m_read_sent_at + max_check_time)
            return;
    }
    const int writes = is_store_degraded(d, now) ? degraded_writes : 1;
    for (int i = 0; i < writes && d.m_writes_in_flight < max_writes_in_flight &&
                    (i == 0 || d.m_is_unchecked);
         ++i)
        renew(d);
}

void acquire(duty_client& d, const duty_record& record)
{
    const time_point now = d.m_now();
    const sent_duty_write w{record.m_renewals, d.m_seen->m_revision, now,
                            d.m_changes};
    d.m_sent.clear();
    d.m_is_unchecked = false;
    d.m_next_call_at = now + duty_hedge_delay(d.m_pace);
    send_write(d, record,
               [&d, w](write_answer& a)
               {
                   if (a.m_object)
                       observe_record(d, *a.m_object);
                   // Whether the write took effect is read from the object.
                   if (a.m_failure)
                   {
                       d.m_next_call_at =
                           d.m_now() + (is_recorded_holder(d)
                                            ? duty_hedge_delay(d.m_pace)
                                            : duty_retry);
                       if (a.m_failure != store_failure::unavailable)
                           read_duty(d, false);
                       return;
                   }
                   d.m_next_call_at = d.m_now() + duty_renewal_interval;
                   if (is_recorded_holder(d))
                       prove_write(d, w);
               });
}

void handle_read(duty_client& d, bool allow_stale, const store_answer& a)
{
    const time_point now = d.m_now();
    d.m_is_unchecked = false;
    // While the duty is held, the next write is due already.
    if (a.m_failure && !is_held(d))
        d.m_next_call_at = now + duty_retry;
    if (a.m_failure)
        return;
    if (!is_recorded_holder(d))
        d.m_next_call_at = now + duty_renewal_interval;
    bool found = false;
    for (const stored_change& c : a.m_changes)
        if (c.m_object.m_name == d.m_name)
        {
            found = true;
            if (d.m_seen && c.m_object.m_revision < d.m_seen->m_revision)
                d.m_avoid_stale_until = now + stale_avoidance_time;
            observe_record(d, c.m_object);
        }
    if (!found && !d.m_seen)
        d.m_seen = duty_observation{0, {}, now};
    if (is_recorded_holder(d))
        return advance_renewal(d, now);
    if (d.m_stopping || !d.m_may_hold || !d.m_seen ||
        d.m_writes_in_flight > 0 ||
        !may_acquire_duty(*d.m_seen, d.m_settings.m_name, d.m_incarnation, now))
        return;
    // The duty is acquired only on a current answer.
    if (allow_stale)
        return read_duty(d, false);
    d.m_predecessor_seen_at = d.m_seen->m_first_seen_at;
    acquire(d, acquire_duty(d.m_seen->m_record, d.m_settings.m_name,
                            d.m_incarnation));
}

void read_duty(duty_client& d, bool allow_stale)
{
    d.m_read_pending = true;
    d.m_read_sent_at = d.m_now();
    ++d.m_calls;
    d.m_store.m_list(d.m_kind, allow_stale,
                     [&d, allow_stale](store_answer& a)
                     {
                         d.m_read_pending = false;
                         note_answer(d, a.m_failure, d.m_read_sent_at,
                                     d.m_now());
                         handle_read(d, allow_stale, a);
                     });
}

void write_release(duty_client& d, std::string_view cause,
                   std::function<void()> done)
{
    duty_record record = next_record(d);
    record.m_holder.clear();
    lose_duty(d, cause);
    // A renewal that is carried out instead doesn't give the duty back.
    d.m_sent.clear();
    send_write(d, record,
               [&d, done = std::move(done)](write_answer& a)
               {
                   d.m_next_call_at = d.m_now() + duty_retry;
                   if (a.m_object)
                       observe_record(d, *a.m_object);
                   else if (a.m_failure && !d.m_stopping && !d.m_read_pending &&
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
    if (is_held(d) && !may_order_promotion(d.m_renewed_at, now))
        lose_duty(d, "not renewed");
    if (d.m_stopping)
        return;
    if (is_recorded_holder(d) && d.m_may_hold)
        return advance_renewal(d, now);
    if (d.m_writes_in_flight > 0 || d.m_read_pending || now < d.m_next_call_at)
        return;
    if (is_recorded_holder(d))
        write_release(d, "no longer a candidate", [] {});
    else if (d.m_may_hold)
        read_duty(d, now >= d.m_avoid_stale_until);
}

void record_duty(duty_client& d)
{
    d.m_record_is_outdated = true;
    ++d.m_changes;
    advance_duty(d, d.m_now());
}

void release_duty(duty_client& d, std::function<void()> done)
{
    d.m_stopping = true;
    if (!is_recorded_holder(d))
        return done();
    write_release(d, "stopping", std::move(done));
}

}
