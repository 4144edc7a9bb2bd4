#include <session/session_task_state.hpp>

#include <algorithm>

#include <decide/endpoint_choice.hpp>
#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

// Interval between reports on primaries; a fifth of primary_timeout.
constexpr std::chrono::milliseconds primary_report_interval{240};

std::uint32_t connection_limit(const session_task_state& t,
                               const site_service& service)
{
    const std::size_t members = std::max<std::size_t>(1, t.m_processes);
    const std::uint32_t all = service.m_connections > reserved_connections
                                  ? service.m_connections - reserved_connections
                                  : service.m_connections;
    const double even_share =
        static_cast<double>(all) / static_cast<double>(members);
    return std::max<std::uint32_t>(
        1, static_cast<std::uint32_t>(even_share * connection_reach));
}

// Drops what was learned about an endpoint, and its connections, if it was
// restarted or moved under the same id.
void handle_endpoint_restart(session_task_state& t, endpoint_port& p,
                             const site_endpoint& e)
{
    if (p.m_endpoint.m_born_ms == e.m_born_ms &&
        p.m_endpoint.m_address == e.m_address)
        return;
    forget_endpoint(p.m_group->m_view, e.m_id);
    std::vector<link_ptr> old;
    for (link& k : p.m_links)
        old.emplace_back(&k);
    for (const link_ptr& k : old)
        lose_link(t, *k, "endpoint gone");
    p.m_avoid_until = {};
    p.m_avoid_pause = {};
}

void update_pool(session_task_state& t, const site_endpoint& e)
{
    service_group& g = t.m_groups[e.m_service];
    if (g.m_service.m_name.empty())
    {
        g.m_service.m_name = e.m_service;
        g.m_missed_since = boot_now();
    }
    const auto [entry, added] = t.m_ports.try_emplace(e.m_id);
    endpoint_port& p = entry->second;
    if (added)
        p.m_group = &g;
    else
        handle_endpoint_restart(t, p, e);
    p.m_endpoint = e;
    p.m_listed = true;
    const auto region = t.m_settings.m_region_of_zone.find(e.m_zone);
    if (region != t.m_settings.m_region_of_zone.end())
        p.m_region = region->second;
    const bool leaving = is_leaving(*t.m_endpoints, e);
    if (!leaving)
        p.m_leaving_since = {};
    else if (p.m_leaving_since == time_point{})
        p.m_leaving_since = boot_now();
}

void remove_unlisted_pools(session_task_state& t)
{
    for (auto& [id, p] : t.m_ports)
    {
        if (t.m_endpoints->m_endpoints.contains(id))
            continue;
        p.m_listed = false;
        forget_endpoint(p.m_group->m_view, id);
        std::vector<link_ptr> idle;
        for (link& k : p.m_links)
            if (k.m_state == link_state::idle && !k.m_work)
                idle.emplace_back(&k);
        for (const link_ptr& k : idle)
            close_link(t, *k, "endpoint gone");
    }
    std::erase_if(t.m_ports,
                  [](const auto& entry)
                  {
                      return !entry.second.m_listed &&
                             entry.second.m_link_count == 0;
                  });
}

// Workspace for a status connection: one that has a connection to the endpoint
// already, if there is one.
std::string status_workspace(const session_task_state& t,
                             const endpoint_port& p)
{
    for (const link& k : p.m_links)
        return k.m_workspace;
    return t.m_config ? any_workspace(*t.m_config) : std::string();
}

void request_status(session_task_state& t, endpoint_port& p, time_point now)
{
    if (now - p.m_status_asked_at < status_period || now < p.m_avoid_until)
        return;
    p.m_status_asked_at = now;
    for (link& k : p.m_links)
        if (k.m_state == link_state::idle && !k.m_work)
            return ask_status(t, k);
    p.m_status_wanted = true;
    // Connections that are idle in a transaction can't show whether an
    // endpoint that needs a probe has recovered, so another one is opened.
    const bool is_connecting =
        std::ranges::any_of(p.m_links,
                            [](const link& k)
                            {
                                return k.m_state == link_state::dialing;
                            });
    const bool should_connect =
        is_in_doubt(p) && !is_connecting && p.m_link_count < p.m_limit;
    if (p.m_link_count == 0 || should_connect)
        obtain_link(t, p, status_workspace(t, p), nullptr);
}

// Requests the status of the primary and of as many replicas as confirm its
// lease, those of this region and with the lowest latency first.
void request_group_status(session_task_state& t, service_group& g,
                          time_point now)
{
    const bool known = !g.m_view.m_primary.empty();
    std::vector<endpoint_port*> replicas;
    for (auto& [id, p] : t.m_ports)
    {
        if (p.m_group != &g || !p.m_listed)
            continue;
        if (!known || id == g.m_view.m_primary)
            request_status(t, p, now);
        else if (now >= p.m_avoid_until)
            replicas.push_back(&p);
    }
    if (!known)
        return;
    std::ranges::sort(replicas,
                      [&](const endpoint_port* a, const endpoint_port* b)
                      {
                          const auto rank = [&](const endpoint_port* p)
                          {
                              const bool in_own_region =
                                  p->m_region == t.m_settings.m_region;
                              return std::pair(!in_own_region, p->m_answer_ms);
                          };
                          return rank(a) < rank(b);
                      });
    // Without a valid lease, asking all replicas confirms one soonest.
    const std::size_t needed = now < g.m_view.m_lease_until
                                   ? g.m_view.m_sync_replicas
                                   : replicas.size();
    for (std::size_t i = 0; i < std::min(needed, replicas.size()); ++i)
        request_status(t, *replicas[i], now);
    // The other replicas are asked less often, to find a newer term that the
    // first ones don't know.
    constexpr std::chrono::seconds other_replica_interval{3};
    for (std::size_t i = needed; i < replicas.size(); ++i)
        if (now - replicas[i]->m_status_asked_at >= other_replica_interval)
            request_status(t, *replicas[i], now);
}

// Logs an endpoint's status when its role, term or paused term changes.
void log_role_change(const endpoint_port& p, const endpoint_status& status)
{
    const auto previous = p.m_group->m_view.m_sights.find(p.m_endpoint.m_id);
    const bool is_unchanged =
        previous != p.m_group->m_view.m_sights.end() &&
        previous->second.m_status.m_role == status.m_role &&
        previous->second.m_status.m_term == status.m_term &&
        previous->second.m_status.m_held == status.m_held;
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
               {"paused_for", std::to_string(status.m_held)}});
}

time_point oldest_pending_commit(const session_task_state& t,
                                 const service_group& g)
{
    time_point oldest{};
    for (const work& w : t.m_works)
    {
        const bool commits =
            w.m_kind == statement_kind::commit ||
            (w.m_writes && w.m_session && !w.m_session->m_transaction);
        if (!commits || w.m_sent_at == time_point{} || !w.m_link ||
            w.m_link->m_port->m_group != &g)
            continue;
        if (oldest == time_point{} || w.m_sent_at < oldest)
            oldest = w.m_sent_at;
    }
    return oldest;
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
        g.m_view.m_sync_replicas = g.m_service.m_sync_replicas;
        g.m_view.m_members = 0;
    }
    for (auto& [id, p] : t.m_ports)
    {
        p.m_limit = connection_limit(t, p.m_group->m_service);
        p.m_group->m_view.m_members += p.m_listed ? 1U : 0U;
    }
    for (auto& [name, g] : t.m_groups)
        serve_waiting(t, g);
}

bool is_in_doubt(const endpoint_port& p) noexcept
{
    return p.m_avoid_pause != duration::zero();
}

void ask_statuses(session_task_state& t, time_point now)
{
    for (auto& [id, p] : t.m_ports)
        if (p.m_listed && is_in_doubt(p))
            request_status(t, p, now);
    for (auto& [name, g] : t.m_groups)
    {
        if (needs_status(g.m_view, now))
            request_group_status(t, g, now);
        // The failover task checks each primary more often than its lease is
        // renewed.
        const auto primary = t.m_ports.find(g.m_view.m_primary);
        if (t.m_reporting && primary != t.m_ports.end() &&
            now - g.m_primary_sign >= status_period)
            request_status(t, primary->second, now);
    }
}

void ask_status(session_task_state& t, link& k)
{
    ++t.m_counts.m_status_questions;
    t.m_charts.m_link.fire(k.m_state, link_event::sent);
    k.m_since = boot_now();
    std::string out;
    t.m_codec.m_write_order(out, group_order::status, 0);
    k.m_expected.push_back({link_answer::status, k.m_since});
    k.m_stream->write(out);
}

void take_status(session_task_state& t, link& k, const expected_answer& e)
{
    endpoint_port& p = *k.m_port;
    if (e.m_failed)
        return;
    const auto status = t.m_codec.m_read_status(e.m_row);
    if (!status)
    {
        log_event(event_id::endpoint_unreadable,
                  {{"endpoint", p.m_endpoint.m_id}, {"row", e.m_row}});
        return;
    }
    log_role_change(p, *status);
    note_status(p.m_group->m_view, p.m_endpoint.m_id, *status, e.m_asked_at,
                boot_now());
    note_primary(t, *p.m_group);
    serve_waiting(t, *p.m_group);
}

void take_sign(endpoint_port& p, time_point asked_at,
               const std::optional<log_position>& position)
{
    group_view& view = p.m_group->m_view;
    if (is_in_doubt(p))
        log_event(event_id::endpoint_reached,
                  {{"endpoint", p.m_endpoint.m_id},
                   {"service", p.m_endpoint.m_service}});
    p.m_sign_at = boot_now();
    p.m_avoid_pause = {};
    p.m_avoid_until = {};
    if (view.m_primary == p.m_endpoint.m_id)
        p.m_group->m_primary_sign = boot_now();
    if (position)
        note_position(view, p.m_endpoint.m_id, *position, asked_at);
}

void note_overdue(endpoint_port& p)
{
    const time_point now = boot_now();
    if (is_silent(p.m_sign_at, now))
        return avoid_port(p, "silent");
    p.m_full_until = now + full_pause;
}

void avoid_port(endpoint_port& p, std::string_view cause)
{
    const time_point now = boot_now();
    if (now < p.m_avoid_until)
        return;
    p.m_avoid_pause = std::clamp<duration>(
        p.m_avoid_pause * 2, first_avoid_pause, longest_avoid_pause);
    p.m_avoid_until = now + p.m_avoid_pause;
    log_event(event_id::endpoint_unreachable,
              {{"endpoint", p.m_endpoint.m_id},
               {"service", p.m_endpoint.m_service},
               {"failure", std::string(cause)},
               {"avoided_ms", milliseconds_of(p.m_avoid_pause)}});
}

void note_primary(session_task_state& t, service_group& g)
{
    const group_view& view = g.m_view;
    const std::string current =
        view.m_primary + "@" + std::to_string(view.m_term);
    if (g.m_reported == current)
        return;
    g.m_reported = current;
    if (view.m_primary.empty())
    {
        g.m_missed_since = boot_now();
        log_event(event_id::primary_missed,
                  {{"service", g.m_service.m_name},
                   {"term", std::to_string(view.m_term)}});
        return;
    }
    g.m_primary_sign = boot_now();
    log_event(event_id::primary_found, {{"service", g.m_service.m_name},
                                        {"endpoint", view.m_primary},
                                        {"term", std::to_string(view.m_term)}});
    // Confirm the lease and find the other members without delay.
    request_group_status(t, g, boot_now());
}

void report_primaries(session_task_state& t, time_point now)
{
    if (!t.m_reporting || now < t.m_report_at)
        return;
    t.m_report_at = now + primary_report_interval;
    for (const auto& [name, g] : t.m_groups)
    {
        const group_view& view = g.m_view;
        primary_report r{name, view.m_primary, view.m_term, {}};
        r.m_evidence.m_known = !view.m_primary.empty();
        r.m_evidence.m_last_sign =
            r.m_evidence.m_known ? g.m_primary_sign : g.m_missed_since;
        r.m_evidence.m_interrupted = view.m_touched > view.m_term;
        r.m_evidence.m_stuck_since = oldest_pending_commit(t, g);
        t.m_boxes.m_failover.post(std::move(r));
    }
}

}
