#include <session/site_task_state.hpp>

#include <algorithm>
#include <limits>

#include <decide/polling_intervals.hpp>
#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

// Any process that is behind may fetch the other kinds from any other one. The
// members determine whose votes count: they are relayed by the cell leader
// alone.
bool is_for_any_peer(const store_watch& w)
{
    return w.m_kind != stored_kind::members;
}

bool is_relayed(const site_task_state& t, const store_watch& w, time_point now)
{
    return is_relayed_by_leader(t, now) &&
           (w.m_kind != stored_kind::members ||
            is_relaying_members(t.m_cell.m_member_relay,
                                t.m_members.contains(t.m_settings.m_name),
                                now));
}

duration watch_timeout_of(const site_task_state& t, const store_watch& w)
{
    if (!has_zone_cells(t))
        return watch_timeout;
    if (w.m_kind == stored_kind::members)
        return members_watch_timeout;
    return leads_cell(t, boot_now()) ? leader_watch_timeout : watch_timeout;
}

// A list that was adopted from a peer meanwhile may be newer than the answer.
// Configurations are compared by their versions.
bool is_outdated(const site_task_state& t, const store_watch& w,
                 const store_answer& a)
{
    const bool may_be_adopted = w.m_kind == stored_kind::members
                                    ? has_zone_cells(t)
                                    : w.m_kind != stored_kind::configuration;
    return may_be_adopted && a.m_revision < w.m_revision;
}

// In a fleet with cells, each change would end a watch of every process that
// isn't relayed yet. A cell leader relays changes, so it gets them at once,
// except those of the members, each of which may be one of many.
bool may_pause(const site_task_state& t, const store_watch& w)
{
    return has_zone_cells(t) &&
           (w.m_kind == stored_kind::members || !leads_cell(t, boot_now()));
}

std::chrono::milliseconds pause_of(const site_task_state& t)
{
    const auto pause = members_watch_pause(t.m_members.size());
    return leads_cell(t, boot_now()) ? std::min(pause, max_leader_watch_pause)
                                     : pause;
}

bool is_out_of_reach(store_failure failure)
{
    return failure == store_failure::unreachable ||
           failure == store_failure::unavailable;
}

// Of the watches that don't reach the store, one asks for all: that of the
// configuration, while it is the process's own.
bool waits_for_probe(const site_task_state& t, const store_watch& w)
{
    const store_watch& probe = watch_of(t, stored_kind::configuration);
    return &w != &probe && !probe.m_is_available &&
           probe.m_state != watch_state::relayed &&
           is_out_of_reach(w.m_failure) && is_out_of_reach(probe.m_failure);
}

void run_action(site_task_state& t, store_watch& w, watch_action action);

void fire(site_task_state& t, store_watch& w, watch_event event)
{
    t.m_charts.m_watch.fire(w.m_state, event,
                            [&](watch_action action)
                            {
                                run_action(t, w, action);
                            });
}

void record_answer(site_task_state& t, store_watch& w)
{
    w.m_retry_delay = {};
    w.m_confirmed_at = boot_now();
    ++t.m_answered_calls;
    if (w.m_is_available)
        return;
    w.m_is_available = true;
    log_event(event_id::platform_back,
              {{"kind", std::string(to_string(w.m_kind))}});
    if (w.m_kind == stored_kind::endpoints)
        record_store_return(t.m_list, boot_now());
}

void record_failure(site_task_state& t, store_watch& w, store_failure failure)
{
    ++t.m_failed_calls;
    w.m_failure = failure;
    w.m_retry_delay = std::clamp<duration>(w.m_retry_delay * 2, min_retry_delay,
                                           max_retry_delay);
    if (!w.m_is_available)
        return;
    w.m_is_available = false;
    log_event(event_id::platform_lost,
              {{"kind", std::string(to_string(w.m_kind))},
               {"failure", std::string(to_string(failure))},
               {"revision", std::to_string(w.m_revision)}});
}

void handle_answer(site_task_state& t, store_watch& w, const store_answer& a,
                   bool complete)
{
    if (a.m_failure == store_failure::history_gone)
    {
        ++t.m_history_gone_calls;
        return fire(t, w, watch_event::history_gone);
    }
    if (a.m_failure)
    {
        record_failure(t, w, *a.m_failure);
        return fire(t, w, watch_event::failed);
    }
    record_answer(t, w);
    if (a.m_unreadable > 0)
        log_event(event_id::store_entry_unreadable,
                  {{"kind", std::string(to_string(w.m_kind))},
                   {"objects", std::to_string(a.m_unreadable)},
                   {"revision", std::to_string(a.m_revision)}});
    if ((complete || !a.m_changes.empty()) && !is_outdated(t, w, a))
    {
        // A list that was only read again is no change: otherwise a new leader
        // would claim one, and its whole cell fetch the members.
        if (!complete || w.m_kind != stored_kind::members ||
            w.m_changed_revision == 0 || !lists_same_members(t, a.m_changes))
            w.m_changed_revision = a.m_revision;
        apply_objects(t, w.m_kind, a.m_changes, complete);
    }
    w.m_revision = std::max(w.m_revision, a.m_revision);
    if (!complete && is_relayed(t, w, boot_now()))
    {
        log_event(event_id::watch_relayed,
                  {{"kind", std::string(to_string(w.m_kind))},
                   {"leader", t.m_cell.m_leader_address},
                   {"revision", std::to_string(w.m_revision)}});
        return fire(t, w, watch_event::relayed);
    }
    if (complete)
        return fire(t, w, watch_event::listed);
    const bool in_burst = !a.m_changes.empty() && may_pause(t, w);
    fire(t, w, in_burst ? watch_event::changed_in_burst : watch_event::changed);
}

void read_all(site_task_state& t, store_watch& w)
{
    t.m_store.m_list(w.m_kind, false,
                     [&t, &w](store_answer& a)
                     {
                         handle_answer(t, w, a, true);
                     });
}

void run_action(site_task_state& t, store_watch& w, watch_action action)
{
    switch (action)
    {
    case watch_action::read_all:
        return read_all(t, w);
    case watch_action::watch:
        t.m_store.m_watch(w.m_kind, w.m_revision, watch_timeout_of(t, w),
                          [&t, &w](store_answer& a)
                          {
                              handle_answer(t, w, a, false);
                          });
        return;
    case watch_action::pause:
        w.m_timer->start_once(pause_of(t));
        return;
    case watch_action::back_off:
        w.m_timer->start_once(
            std::chrono::duration_cast<std::chrono::microseconds>(
                waits_for_probe(t, w) ? duration(min_retry_delay)
                                      : w.m_retry_delay));
        return;
    }
}

void handle_timer(site_task_state& t, store_watch& w)
{
    if (w.m_state == watch_state::backing_off && waits_for_probe(t, w))
        return run_action(t, w, watch_action::back_off);
    fire(t, w, watch_event::timer_expired);
}

}

void start_watches(site_task_state& t)
{
    constexpr std::array kinds{stored_kind::configuration,
                               stored_kind::endpoints, stored_kind::evacuations,
                               stored_kind::members};
    for (std::size_t i = 0; i < kinds.size(); ++i)
    {
        store_watch& w = t.m_watches[i];
        w.m_kind = kinds[i];
        w.m_timer = std::make_unique<timer>(t.m_loop,
                                            [&t, &w]
                                            {
                                                handle_timer(t, w);
                                            });
        read_all(t, w);
    }
}

void update_relayed_watches(site_task_state& t, time_point now)
{
    for (store_watch& w : t.m_watches)
        if (w.m_state == watch_state::relayed && !is_relayed(t, w, now))
        {
            log_event(event_id::watch_resumed,
                      {{"kind", std::string(to_string(w.m_kind))},
                       {"leader", t.m_cell.m_leader_address}});
            fire(t, w, watch_event::relay_lost);
        }
        else if (w.m_state == watch_state::relayed)
            w.m_confirmed_at = t.m_cell.m_last_relay_at;
}

duration time_behind(const site_task_state& t)
{
    return t.m_behind_since == time_point{} ? duration()
                                            : boot_now() - t.m_behind_since;
}

bool is_store_available(const site_task_state& t)
{
    return std::ranges::all_of(t.m_watches,
                               [](const store_watch& w)
                               {
                                   return w.m_is_available;
                               });
}

bool has_failed_watch(const site_task_state& t)
{
    return std::ranges::any_of(t.m_watches,
                               [](const store_watch& w)
                               {
                                   // Set by a failure, reset by an answer.
                                   return w.m_retry_delay > duration::zero();
                               });
}

bool may_count_votes(const site_task_state& t)
{
    const store_watch& w = watch_of(t, stored_kind::members);
    return may_count_votes(member_list_state{w.m_state == watch_state::relayed,
                                             w.m_state == watch_state::listing,
                                             w.m_is_available});
}

std::uint64_t known_revision(const site_task_state& t)
{
    std::uint64_t known = std::numeric_limits<std::uint64_t>::max();
    for (const store_watch& w : t.m_watches)
        if (is_for_any_peer(w))
            known = std::min(known, w.m_revision);
    return known;
}

std::uint64_t changed_revision(const site_task_state& t)
{
    std::uint64_t changed = 0;
    for (const store_watch& w : t.m_watches)
        if (is_for_any_peer(w))
            changed = std::max(changed, w.m_changed_revision);
    return changed;
}

store_watch& watch_of(site_task_state& t, stored_kind kind)
{
    return *std::ranges::find(t.m_watches, kind, &store_watch::m_kind);
}

const store_watch& watch_of(const site_task_state& t, stored_kind kind)
{
    return *std::ranges::find(t.m_watches, kind, &store_watch::m_kind);
}

}
