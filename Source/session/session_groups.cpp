#include <session/session_task_state.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

#include <decide/endpoint_choice.hpp>
#include <decide/group_relay.hpp>
#include <decide/takeover.hpp>
#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

// Interval between reports on primaries; a fifth of primary_timeout.
constexpr std::chrono::milliseconds primary_report_interval{240};
// Interval between the status requests to replicas that aren't needed to
// confirm a lease.
constexpr std::chrono::seconds own_replica_interval{3};
// The same for a process that tells others which endpoints reply, and how many
// connections they have.
constexpr std::chrono::seconds relayed_replica_interval{1};
// Interval between the probes of an avoided endpoint by a process that hears of
// the endpoints from its cell leader: only an endpoint that the leader doesn't
// reach has to be probed.
constexpr std::chrono::seconds follower_probe_interval{5};

// Drops what was learned about an endpoint, and its connections, if it was
// restarted or moved under the same id.
void handle_endpoint_restart(session_task_state& t, endpoint_pool& p,
                             const site_endpoint& e)
{
    if (p.m_endpoint.m_started_ms == e.m_started_ms &&
        p.m_endpoint.m_address == e.m_address)
        return;
    const time_point now = boot_now();
    forget_endpoint(p.m_group->m_view, e.m_id, now);
    record_listed(p.m_group->m_view, e.m_id, now);
    std::vector<link_ptr> old;
    for (link& k : p.m_links)
        old.emplace_back(&k);
    for (const link_ptr& k : old)
        fail_link(t, *k, "endpoint gone");
    p.m_is_avoided = false;
    p.m_avoid_until = {};
    p.m_avoid_interval = {};
    p.m_load = {};
}

// A failover counts the logs of endpoints whose entries have expired, so one
// that returns is as settled as it was.
void record_return(service_group& g, const site_endpoint& e, time_point now)
{
    const auto before = g.m_unlisted.find(e.m_id);
    const bool was_settled = before != g.m_unlisted.end() &&
                             before->second.m_started_ms == e.m_started_ms &&
                             now - before->second.m_at < lost_log_retention;
    if (before != g.m_unlisted.end())
        g.m_unlisted.erase(before);
    if (was_settled)
        g.m_view.m_settles_at.erase(e.m_id);
    else
        record_listed(g.m_view, e.m_id, now);
}

void update_pool(session_task_state& t, const site_endpoint& e)
{
    service_group& g = t.m_groups[e.m_service];
    if (g.m_service.m_name.empty())
    {
        g.m_service.m_name = e.m_service;
        g.m_primary_missing_since = boot_now();
    }
    const auto [entry, added] = t.m_endpoint_pools.try_emplace(e.m_id);
    endpoint_pool& p = entry->second;
    if (added)
        p.m_group = &g;
    else
        handle_endpoint_restart(t, p, e);
    // The first list with the group is the same for all processes: whoever
    // promotes counts its endpoints, too.
    if ((added || !p.m_is_listed) && !g.m_is_new)
        record_return(g, e, boot_now());
    p.m_endpoint = e;
    p.m_load.m_slots = e.m_slots;
    p.m_is_listed = true;
    const auto region = t.m_settings.m_region_of_zone.find(e.m_zone);
    if (region != t.m_settings.m_region_of_zone.end())
        p.m_region = region->second;
    p.m_evacuated = t.m_endpoints->m_evacuated_zones.contains(e.m_zone);
    const bool leaving = is_leaving(*t.m_endpoints, e);
    if (!leaving)
        p.m_draining_since = {};
    else if (p.m_draining_since == time_point{})
        p.m_draining_since = boot_now();
}

void remove_unlisted_pools(session_task_state& t)
{
    for (auto& [id, p] : t.m_endpoint_pools)
    {
        if (t.m_endpoints->m_endpoints.contains(id))
            continue;
        const time_point now = boot_now();
        if (p.m_is_listed && is_settled(p.m_group->m_view, id, now))
            p.m_group->m_unlisted[id] = {p.m_endpoint.m_started_ms, now};
        p.m_is_listed = false;
        forget_endpoint(p.m_group->m_view, id, now);
        // A reply to an earlier request may still arrive.
        record_unlisted(p.m_group->m_view, id);
        std::vector<link_ptr> idle;
        for (link& k : p.m_links)
            if (k.m_state == link_state::idle && !k.m_work)
                idle.emplace_back(&k);
        for (const link_ptr& k : idle)
            close_link(t, *k, "endpoint gone");
    }
    std::erase_if(t.m_endpoint_pools,
                  [](const auto& entry)
                  {
                      const endpoint_pool& p = entry.second;
                      const bool is_gone =
                          !p.m_is_listed && p.m_link_count == 0;
                      if (is_gone)
                          p.m_group->m_view.m_settles_at.erase(entry.first);
                      return is_gone;
                  });
}

// Workspace for a status connection: one that has a connection to the endpoint
// already, if there is one.
std::string status_workspace(const session_task_state& t,
                             const endpoint_pool& p)
{
    for (const link& k : p.m_links)
        return k.m_workspace;
    return t.m_config ? first_workspace(*t.m_config) : std::string();
}

void request_status(session_task_state& t, endpoint_pool& p, time_point now)
{
    if (now - p.m_status_requested_at < status_interval ||
        now < p.m_avoid_until)
        return;
    p.m_status_requested_at = now;
    for (link& k : p.m_links)
        if (k.m_state == link_state::idle && !k.m_work)
            return ask_status(t, k);
    // Connections that are idle in a transaction can't show whether an
    // endpoint that needs a probe has recovered, and a lease ends while all
    // are in use, so another one is opened.
    const bool waits_already = std::exchange(p.m_status_wanted, true);
    const bool is_connecting =
        std::ranges::any_of(p.m_links,
                            [](const link& k)
                            {
                                return k.m_state == link_state::connecting;
                            });
    const bool should_connect = (p.m_is_avoided || waits_already) &&
                                !is_connecting &&
                                p.m_link_count < p.m_budget.m_limit;
    if (p.m_link_count == 0 || should_connect)
        obtain_link(t, p, status_workspace(t, p), nullptr);
}

duration renewal_margin(const session_task_state& t)
{
    return t.m_has_cell_leaders ? relayed_lease_renewal_margin
                                : leader_lease_renewal_margin;
}

// Requests the status of the primary and of as many replicas as confirm its
// lease, settled ones, those of this region and with the lowest latency first.
void request_group_status(session_task_state& t, service_group& g,
                          time_point now)
{
    const bool known = !g.m_view.m_primary.empty();
    std::vector<endpoint_pool*> replicas;
    for (auto& [id, p] : t.m_endpoint_pools)
    {
        if (p.m_group != &g || !p.m_is_listed)
            continue;
        if (!known || id == g.m_view.m_primary)
            request_status(t, p, now);
        else if (now >= p.m_avoid_until)
            replicas.push_back(&p);
    }
    if (!known)
        return;
    std::ranges::sort(
        replicas,
        [&](const endpoint_pool* a, const endpoint_pool* b)
        {
            const auto rank = [&](const endpoint_pool* p)
            {
                const bool in_own_region = p->m_region == t.m_settings.m_region;
                return std::tuple(
                    !is_settled(g.m_view, p->m_endpoint.m_id, now),
                    !in_own_region, p->m_latency_ms);
            };
            return rank(a) < rank(b);
        });
    // If the first requests haven't renewed the lease, asking all replicas
    // confirms it soonest: nothing else renews it, and commits need it.
    const bool is_first_request =
        g.m_view.m_lease_until - now > renewal_margin(t) - status_interval;
    const std::size_t needed =
        is_first_request ? g.m_view.m_sync_replicas : replicas.size();
    for (std::size_t i = 0; i < std::min(needed, replicas.size()); ++i)
        request_status(t, *replicas[i], now);
    // The other replicas are asked less often, to find a newer term that the
    // first ones don't know.
    const duration other_replica_interval =
        t.m_has_cell_leaders ? relayed_replica_interval : own_replica_interval;
    for (std::size_t i = needed; i < replicas.size(); ++i)
        if (now - replicas[i]->m_status_requested_at >= other_replica_interval)
            request_status(t, *replicas[i], now);
}

// Logs an endpoint's status when its role, term or paused term changes.
void log_role_change(const endpoint_pool& p, const endpoint_status& status)
{
    const auto previous =
        p.m_group->m_view.m_observations.find(p.m_endpoint.m_id);
    const bool is_unchanged =
        previous != p.m_group->m_view.m_observations.end() &&
        previous->second.m_status.m_role == status.m_role &&
        previous->second.m_status.m_term == status.m_term &&
        previous->second.m_status.m_paused_term == status.m_paused_term;
    if (is_unchanged)
        return;
    const bool leads = status.m_role == endpoint_role::primary;
    log_event(event_id::endpoint_part_changed,
              {{"service", p.m_endpoint.m_service},
               {"endpoint", p.m_endpoint.m_id},
               {"role", leads ? "primary" : "replica"},
               {"term", std::to_string(status.m_term)},
               {"position", std::to_string(status.m_position.m_term) + "." +
                                std::to_string(status.m_position.m_offset)},
               {"paused_for", std::to_string(status.m_paused_term)}});
}

// Asks every replica now and then, also while leases need no proof, and one
// that is paused until it isn't any more.
void find_paused_replicas(session_task_state& t, time_point now)
{
    for (auto& [id, p] : t.m_endpoint_pools)
    {
        const auto& observations = p.m_group->m_view.m_observations;
        const auto seen = observations.find(id);
        const bool is_paused = seen != observations.end() &&
                               seen->second.m_status.m_paused_term != 0;
        const duration interval = is_paused ? duration(status_interval)
                                            : duration(own_replica_interval);
        if (p.m_is_listed && now - p.m_status_requested_at >= interval)
            request_status(t, p, now);
    }
}

}

void update_groups(session_task_state& t)
{
    if (!t.m_endpoints)
        return;
    for (const auto& [id, e] : t.m_endpoints->m_endpoints)
        update_pool(t, e);
    remove_unlisted_pools(t);
    for (auto& [name, g] : t.m_groups)
    {
        if (t.m_config)
        {
            const auto service = t.m_config->m_services.find(name);
            if (service != t.m_config->m_services.end())
                g.m_service = service->second;
        }
        g.m_is_new = false;
        std::erase_if(g.m_unlisted,
                      [now = boot_now()](const auto& entry)
                      {
                          return now - entry.second.m_at >= lost_log_retention;
                      });
        g.m_view.m_sync_replicas = g.m_service.m_sync_replicas;
        g.m_view.m_member_count = 0;
    }
    for (auto& [id, p] : t.m_endpoint_pools)
    {
        update_connection_budget(t, p, boot_now());
        p.m_group->m_view.m_member_count += p.m_is_listed ? 1U : 0U;
    }
    for (auto& [name, g] : t.m_groups)
        serve_waiting(t, g);
}

void ask_statuses(session_task_state& t, time_point now)
{
    const bool asks_all = asks_endpoints(t, now);
    for (auto& [id, p] : t.m_endpoint_pools)
        if (p.m_is_listed && p.m_is_avoided &&
            (asks_all ||
             now - std::max(p.m_status_requested_at, p.m_avoided_at) >=
                 follower_probe_interval))
            request_status(t, p, now);
    const duration margin = renewal_margin(t);
    for (auto& [name, g] : t.m_groups)
    {
        const bool in_use =
            !t.m_has_cell_leaders ||
            now - std::max(g.m_used_at, g.m_asked_for_at) < group_use_time;
        if (((asks_all && in_use) || must_ask_itself(g, now)) &&
            needs_status(g.m_view, now, margin))
            request_group_status(t, g, now);
        // The failover task checks each primary more often than its lease is
        // renewed.
        const auto primary = t.m_endpoint_pools.find(g.m_view.m_primary);
        if (t.m_reporting && primary != t.m_endpoint_pools.end() &&
            now - g.m_primary_contact_at >= status_interval)
            request_status(t, primary->second, now);
    }
    if (t.m_reporting)
        find_paused_replicas(t, now);
}

void ask_status(session_task_state& t, link& k)
{
    ++t.m_counts.m_status_requests;
    t.m_charts.m_link.fire(k.m_state, link_event::sent);
    k.m_state_since = boot_now();
    std::string out;
    t.m_codec.m_write_order(out, group_order::status, 0);
    k.m_expected_replies.push_back(
        {expected_reply_kind::status, k.m_state_since});
    k.m_stream->write(out);
}

void handle_status(session_task_state& t, link& k, const expected_reply& e)
{
    endpoint_pool& p = *k.m_endpoint_pool;
    if (e.m_failed)
        return;
    const auto status = t.m_codec.m_read_status(e.m_status_row);
    if (!status)
    {
        log_event(event_id::endpoint_unreadable,
                  {{"endpoint", p.m_endpoint.m_id}, {"row", e.m_status_row}});
        return;
    }
    log_role_change(p, *status);
    record_connection_count(p, status->m_connections, boot_now());
    record_busy_slots(p.m_load, status->m_busy, e.m_requested_at);
    record_status(p.m_group->m_view, p.m_endpoint.m_id, *status,
                  e.m_requested_at, boot_now());
    log_primary_change(t, *p.m_group);
    serve_waiting(t, *p.m_group);
}

void log_primary_change(session_task_state& t, service_group& g)
{
    const group_view& view = g.m_view;
    const std::string current =
        view.m_primary + "@" + std::to_string(view.m_term);
    if (g.m_logged_primary == current)
        return;
    g.m_logged_primary = current;
    if (view.m_primary.empty())
    {
        g.m_primary_missing_since = boot_now();
        log_event(event_id::primary_missed,
                  {{"service", g.m_service.m_name},
                   {"term", std::to_string(view.m_term)}});
        return;
    }
    g.m_primary_contact_at = boot_now();
    log_event(event_id::primary_found, {{"service", g.m_service.m_name},
                                        {"endpoint", view.m_primary},
                                        {"term", std::to_string(view.m_term)}});
    // Confirm the lease and find the other members without delay.
    if (asks_endpoints(t, boot_now()))
        request_group_status(t, g, boot_now());
}

void report_primaries(session_task_state& t, time_point now)
{
    if (!t.m_reporting || now < t.m_next_report_at)
        return;
    t.m_next_report_at = now + primary_report_interval;
    for (const auto& [name, g] : t.m_groups)
    {
        const group_view& view = g.m_view;
        primary_report r{name, view.m_primary, view.m_term, {}, {}, {}};
        r.m_evidence.m_known = !view.m_primary.empty();
        r.m_evidence.m_last_contact_at = r.m_evidence.m_known
                                             ? g.m_primary_contact_at
                                             : g.m_primary_missing_since;
        r.m_evidence.m_takeover_interrupted = view.m_paused_term > view.m_term;
        r.m_evidence.m_commits_stalled_since = oldest_pending_commit(t, g);
        r.m_paused_replicas = paused_replicas(view);
        r.m_replicated_until = replicated_until(view);
        t.m_mailboxes.m_failover.post(std::move(r));
    }
}

}
