#include <session/site_task_state.hpp>

#include <algorithm>

#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

// Each process watches the members itself, because they determine whose votes
// count.
bool can_be_relayed(const store_watch& f)
{
    return f.m_kind != stored_kind::members;
}

duration watch_timeout_of(const site_task_state& t, const store_watch& f)
{
    return can_be_relayed(f) || !has_zone_cells(t)
               ? duration(watch_timeout)
               : duration(members_watch_timeout);
}

void run_action(site_task_state& t, store_watch& f, watch_action action);

void fire(site_task_state& t, store_watch& f, watch_event event)
{
    t.m_charts.m_watch.fire(f.m_state, event,
                            [&](watch_action action)
                            {
                                run_action(t, f, action);
                            });
}

void record_answer(site_task_state& t, store_watch& f)
{
    f.m_retry_delay = {};
    f.m_confirmed_at = boot_now();
    ++t.m_answered_calls;
    if (f.m_is_available)
        return;
    f.m_is_available = true;
    log_event(event_id::platform_back,
              {{"kind", std::string(to_string(f.m_kind))}});
    if (f.m_kind == stored_kind::endpoints)
        record_store_return(t.m_list, boot_now());
}

void record_failure(site_task_state& t, store_watch& f, store_failure failure)
{
    ++t.m_failed_calls;
    f.m_retry_delay = std::clamp<duration>(f.m_retry_delay * 2, min_retry_delay,
                                           max_retry_delay);
    if (!f.m_is_available)
        return;
    f.m_is_available = false;
    log_event(event_id::platform_lost,
              {{"kind", std::string(to_string(f.m_kind))},
               {"failure", std::string(to_string(failure))},
               {"revision", std::to_string(f.m_revision)}});
}

void handle_answer(site_task_state& t, store_watch& f, const store_answer& a,
                   bool complete)
{
    if (a.m_failure == store_failure::history_gone)
    {
        ++t.m_history_gone_calls;
        return fire(t, f, watch_event::history_gone);
    }
    if (a.m_failure)
    {
        record_failure(t, f, *a.m_failure);
        return fire(t, f, watch_event::failed);
    }
    record_answer(t, f);
    f.m_revision = std::max(f.m_revision, a.m_revision);
    if (complete || !a.m_changes.empty())
    {
        if (f.m_kind != stored_kind::members)
            t.m_content_revision = std::max(t.m_content_revision, a.m_revision);
        apply_objects(t, f.m_kind, a.m_changes, complete);
    }
    if (!complete && can_be_relayed(f) && is_relayed_by_leader(t, boot_now()))
        return fire(t, f, watch_event::relayed);
    fire(t, f, complete ? watch_event::listed : watch_event::changed);
}

void read_all(site_task_state& t, store_watch& f)
{
    t.m_store.m_list(f.m_kind, false,
                     [&t, &f](store_answer& a)
                     {
                         handle_answer(t, f, a, true);
                     });
}

void run_action(site_task_state& t, store_watch& f, watch_action action)
{
    switch (action)
    {
    case watch_action::read_all:
        return read_all(t, f);
    case watch_action::watch:
        t.m_store.m_watch(f.m_kind, f.m_revision, watch_timeout_of(t, f),
                          [&t, &f](store_answer& a)
                          {
                              handle_answer(t, f, a, false);
                          });
        return;
    case watch_action::back_off:
        f.m_timer->start_once(
            std::chrono::duration_cast<std::chrono::microseconds>(
                f.m_retry_delay));
        return;
    }
}

}

void start_watches(site_task_state& t)
{
    constexpr std::array kinds{stored_kind::configuration,
                               stored_kind::endpoints, stored_kind::evacuations,
                               stored_kind::members};
    for (std::size_t i = 0; i < kinds.size(); ++i)
    {
        store_watch& f = t.m_watches[i];
        f.m_kind = kinds[i];
        f.m_timer =
            std::make_unique<timer>(t.m_loop,
                                    [&t, &f]
                                    {
                                        fire(t, f, watch_event::backoff_over);
                                    });
        read_all(t, f);
    }
}

void update_relayed_watches(site_task_state& t, time_point now)
{
    const bool relayed = is_relayed_by_leader(t, now);
    for (store_watch& f : t.m_watches)
        if (f.m_state == watch_state::relayed && !relayed)
            fire(t, f, watch_event::relay_lost);
        else if (f.m_state == watch_state::relayed)
            f.m_confirmed_at = t.m_cell.m_last_relay_at;
}

bool is_store_available(const site_task_state& t)
{
    return std::ranges::all_of(t.m_watches,
                               [](const store_watch& f)
                               {
                                   return f.m_is_available;
                               });
}

std::uint64_t store_revision(const site_task_state& t)
{
    std::uint64_t newest = t.m_adopted_revision;
    for (const store_watch& f : t.m_watches)
        newest = std::max(newest, f.m_revision);
    return newest;
}

}
