#include <session/failover_task_state.hpp>

#include <algorithm>
#include <span>
#include <utility>

#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

takeover_participant make_participant(const site_endpoint& e)
{
    takeover_participant m;
    m.m_endpoint = e;
    m.m_member.m_id = e.m_id;
    return m;
}

// Members that have been fenced can only be told from one that takes part in
// commits once they are chosen from.
bool has_chosen(const failover_group& g)
{
    return g.m_state != takeover_state::led &&
           g.m_state != takeover_state::touching;
}

// An endpoint that has moved, or started again under its id, holds and knows
// nothing of before.
void update_endpoint(takeover_participant& m, const site_endpoint& e)
{
    const bool is_same = e.m_address == m.m_endpoint.m_address &&
                         e.m_started_ms == m.m_endpoint.m_started_ms;
    m.m_endpoint = e;
    if (is_same)
        return;
    const takeover_member before = m.m_member;
    m.m_member = {};
    m.m_member.m_id = before.m_id;
    m.m_member.m_leaving = before.m_leaving;
    m.m_member.m_listed = before.m_listed;
    m.m_member.m_joined_late = before.m_joined_late;
    m.m_member.m_fence_lost =
        before.m_fence_lost || before.m_fenced_at != time_point{};
    m.m_connection.reset();
    m.m_reply_pending = false;
}

void update_listing(const failover_task_state& t, takeover_participant& m)
{
    const auto& listed = t.m_endpoints->m_endpoints;
    const auto e = listed.find(m.m_endpoint.m_id);
    m.m_member.m_listed =
        e != listed.end() && e->second.m_service == m.m_endpoint.m_service;
    m.m_member.m_leaving =
        !m.m_member.m_listed || is_leaving(*t.m_endpoints, e->second);
    if (m.m_member.m_listed)
        update_endpoint(m, e->second);
}

// How long after its entry is seen an endpoint may still have nothing, although
// a primary leads.
constexpr std::chrono::seconds max_copy_time{1};

// An endpoint that was listed while a primary led has copied its log; if it
// holds nothing now, it has restarted, and what it held counts.
bool is_known_empty(const failover_group& g, const takeover_participant& m,
                    term_number newest)
{
    const auto at = g.m_log_locations.find(m.m_endpoint.m_address);
    return at != g.m_log_locations.end() &&
           at->second.m_listed_at + max_copy_time > g.m_primary_contact_at &&
           !may_hold_commits(m.m_member, newest);
}

// It can't come to hold anything before the promotion.
bool is_fenced_empty(const failover_group& g, const takeover_participant& m,
                     term_number newest)
{
    return is_known_empty(g, m, newest) && is_fenced(m.m_member, g.m_term);
}

void note_empty_logs(failover_group& g)
{
    const term_number newest = newest_known_term(g);
    for (const takeover_participant& m : g.m_members)
    {
        const auto at = g.m_log_locations.find(m.m_endpoint.m_address);
        if (m.m_member.m_reachable && at != g.m_log_locations.end())
            at->second.m_empty = is_fenced_empty(g, m, newest);
    }
}

// The time from which on the endpoint of a log that is gone receives nothing
// any more.
time_point ended_at(const group_log_location& l)
{
    return l.m_seen_at + (l.m_drained ? duration(drained_log_retention)
                                      : duration(lost_log_retention));
}

void update_location(failover_group& g, const site_endpoint& e, time_point now)
{
    group_log_location& l = g.m_log_locations[e.m_address];
    // A restart without a drain before loses the log, which a new endpoint at
    // the address of a drained one takes over.
    const bool has_restarted = !l.m_endpoint.m_id.empty() && !l.m_drained &&
                               !l.m_empty &&
                               l.m_endpoint.m_started_ms != e.m_started_ms;
    if (has_restarted)
        g.m_lost_logs.push_back(now);
    if (l.m_endpoint.m_id.empty() ||
        l.m_endpoint.m_started_ms != e.m_started_ms)
        l.m_listed_at = now;
    l.m_seen_at = now;
    l.m_drained = e.m_draining;
    l.m_empty = l.m_empty && l.m_endpoint.m_started_ms == e.m_started_ms;
    l.m_endpoint = e;
}

// How long a process without the duty remembers a log that is gone. When it
// acquires the duty, the record says which of them still count, so only those
// matter that have gone since its last renewal.
constexpr std::chrono::minutes unreported_log_retention{10};

// A log that is gone is forgotten once others have everything that it had.
void forget_replaced_logs(failover_group& g, time_point now)
{
    // A primary that doesn't know of a newer term shows nothing about its log.
    const time_point replicated = g.m_report.m_term >= newest_known_term(g)
                                      ? g.m_report.m_replicated_until
                                      : time_point{};
    const bool has_reports = !g.m_report.m_service.empty();
    std::erase_if(g.m_log_locations,
                  [&](const auto& entry)
                  {
                      const group_log_location& l = entry.second;
                      const bool is_old =
                          !has_reports &&
                          now - l.m_seen_at >= unreported_log_retention;
                      return l.m_seen_at != now &&
                             (l.m_empty || is_old || replicated >= ended_at(l));
                  });
    std::erase_if(g.m_lost_logs,
                  [&](time_point ended_at)
                  {
                      return replicated >= ended_at;
                  });
    g.m_size = static_cast<std::uint32_t>(g.m_log_locations.size() +
                                          g.m_lost_logs.size());
}

// Remembers where the newest term has ended once its primary is fenced, and
// forgets an order that had no effect.
void update_end_of_term(failover_group& g)
{
    for (const takeover_participant& m : g.m_members)
    {
        if (had_no_effect(g.m_ordered, m.m_member))
            g.m_ordered = {};
        // A restart may have ended its step-down.
        if (m.m_member.m_reachable &&
            m.m_member.m_status.m_role == endpoint_role::primary &&
            m.m_member.m_status.m_term >= g.m_end.m_term)
            g.m_end = {};
    }
    const term_number newest = newest_known_term(g);
    const auto end = find_end_of_term(decision_members(g), newest, g.m_term);
    if (!end)
        return;
    g.m_end = {newest, *end};
    g.m_end_found_at = boot_now();
}

}

void collect_members(const failover_task_state& t, const std::string& service,
                     failover_group& g)
{
    g.m_members.clear();
    for (const auto& [id, e] : t.m_endpoints->m_endpoints)
        if (e.m_service == service)
            g.m_members.push_back(make_participant(e));
    for (const auto& [at, l] : g.m_log_locations)
        if (!l.m_endpoint.m_id.empty() &&
            find_member(g, l.m_endpoint.m_id) == nullptr)
            g.m_members.push_back(make_participant(l.m_endpoint));
    for (takeover_participant& m : g.m_members)
        update_listing(t, m);
}

void update_members(const failover_task_state& t, const std::string& service,
                    failover_group& g)
{
    for (takeover_participant& m : g.m_members)
        update_listing(t, m);
    for (const auto& [id, e] : t.m_endpoints->m_endpoints)
    {
        if (e.m_service != service || find_member(g, id) != nullptr)
            continue;
        takeover_participant m = make_participant(e);
        m.m_member.m_joined_late = has_chosen(g);
        update_listing(t, m);
        g.m_members.push_back(std::move(m));
    }
    note_empty_logs(g);
    update_end_of_term(g);
}

std::optional<log_position> end_of_newest_term(const failover_group& g,
                                               time_point now)
{
    // An order that has expired may have begun a term without an answer that
    // shows it.
    const bool is_expired = !g.m_ordered.m_endpoint.empty() &&
                            pending_endpoint(g.m_ordered, now).empty();
    if (is_expired || g.m_end.m_term == 0 ||
        g.m_end.m_term < newest_known_term(g))
        return std::nullopt;
    return g.m_end.m_position;
}

namespace
{

void add_listed_members(const failover_task_state& t,
                        const std::string& service, failover_group& g,
                        std::span<const stored_change> listed)
{
    for (const stored_change& c : listed)
    {
        const std::string& id = c.m_object.m_name;
        const auto e = t.m_site_codec.m_read_endpoint(id, c.m_object.m_value);
        if (!e || e->m_service != service)
            continue;
        if (takeover_participant* const known = find_member(g, id))
        {
            update_endpoint(*known, *e);
            continue;
        }
        takeover_participant m = make_participant(*e);
        m.m_member.m_joined_late = true;
        g.m_members.push_back(std::move(m));
    }
}

}

void list_members(failover_task_state& t, const std::string& service,
                  failover_group& g)
{
    g.m_members_listed = false;
    g.m_next_action_at = boot_now() + member_list_timeout;
    t.m_store.m_list(stored_kind::endpoints, false,
                     [&t, service, review = ++g.m_review](store_answer& a)
                     {
                         failover_group& group = t.m_groups[service];
                         if (group.m_state != takeover_state::reviewing ||
                             group.m_review != review)
                             return;
                         if (a.m_failure)
                         {
                             group.m_next_action_at =
                                 boot_now() + order_retry_interval;
                             return;
                         }
                         add_listed_members(t, service, group, a.m_changes);
                         group.m_members_listed = true;
                         group.m_next_action_at = boot_now() + max_fence_age;
                     });
}

std::vector<takeover_member> decision_members(const failover_group& g)
{
    const term_number newest = newest_known_term(g);
    std::vector<takeover_member> members;
    for (const takeover_participant& m : g.m_members)
    {
        if (is_fenced_empty(g, m, newest))
            continue;
        members.push_back(m.m_member);
        // What it held before it restarted is unknown.
        if (!is_known_empty(g, m, newest) &&
            !may_hold_commits(m.m_member, newest))
            members.back().m_reachable = false;
    }
    const auto unknown = std::ranges::count_if(
        g.m_log_locations,
        [&](const auto& entry)
        {
            return std::ranges::none_of(g.m_members,
                                        [&](const takeover_participant& m)
                                        {
                                            return m.m_endpoint.m_address ==
                                                   entry.first;
                                        });
        });
    members.resize(members.size() + static_cast<std::size_t>(unknown) +
                   g.m_lost_logs.size());
    return members;
}

term_number newest_known_term(const failover_group& g)
{
    term_number newest =
        std::max({g.m_old_term, g.m_report.m_term, g.m_newest_term});
    for (const takeover_participant& m : g.m_members)
        newest = std::max({newest, m.m_member.m_status.m_term,
                           m.m_member.m_status.m_position.m_term});
    return newest;
}

void update_log_locations(failover_task_state& t)
{
    const time_point now = boot_now();
    for (const auto& [id, e] : t.m_endpoints->m_endpoints)
        update_location(t.m_groups[e.m_service], e, now);
    for (auto& [service, g] : t.m_groups)
        forget_replaced_logs(g, now);
}

namespace
{

// How much older than the first look at a record its content may be: a write
// may be carried out 6 s late, and is read within some seconds.
constexpr std::chrono::seconds max_record_age{15};

void adopt_gone_logs(failover_group& g, const gone_logs& recorded,
                     time_point recorded_at, time_point now)
{
    // The holder before has found that the others are replaced.
    std::erase_if(g.m_log_locations,
                  [&](const auto& entry)
                  {
                      return entry.second.m_seen_at <
                                 recorded_at - max_record_age &&
                             !recorded.contains(entry.first);
                  });
    for (const auto& [at, log] : recorded)
        g.m_log_locations.try_emplace(
            at,
            group_log_location{now - log.m_ago, log.m_drained, {}, false, {}});
}

// Earlier builds record how many logs there are, without their addresses.
void adopt_size(failover_group& g, std::uint32_t size, time_point now)
{
    if (size > g.m_size)
        g.m_lost_logs.resize(g.m_lost_logs.size() + size - g.m_size,
                             now + lost_log_retention);
}

}

void adopt_recorded_logs(failover_task_state& t, const duty_record& record,
                         time_point recorded_at)
{
    const time_point now = boot_now();
    for (const auto& [service, end] : record.m_final_positions)
    {
        failover_group& g = t.m_groups[service];
        if (end.m_term > g.m_end.m_term)
            g.m_end = end;
    }
    for (const auto& [service, term] : record.m_newest_terms)
    {
        failover_group& g = t.m_groups[service];
        g.m_newest_term = std::max(g.m_newest_term, term);
    }
    if (t.m_endpoints)
        update_log_locations(t);
    for (const auto& [service, size] : record.m_group_sizes)
    {
        if (!record.m_gone_logs)
        {
            adopt_size(t.m_groups[service], size, now);
            continue;
        }
        const auto logs = record.m_gone_logs->find(service);
        adopt_gone_logs(t.m_groups[service],
                        logs == record.m_gone_logs->end() ? gone_logs{}
                                                          : logs->second,
                        recorded_at, now);
    }
}

void record_logs(const failover_group& g, const std::string& service,
                 duty_record& record)
{
    const time_point now = boot_now();
    record.m_group_sizes[service] = g.m_size;
    record.m_newest_terms[service] =
        std::max({record.m_newest_terms[service], g.m_newest_term,
                  g.m_report.m_term, g.m_ordered.m_term});
    record.m_final_positions.erase(service);
    if (g.m_end.m_term != 0)
        record.m_final_positions[service] = g.m_end;
    for (const auto& [at, l] : g.m_log_locations)
        if (!l.m_empty && now - l.m_seen_at > failover_tick)
            (*record.m_gone_logs)[service][at] = {l.m_drained,
                                                  now - l.m_seen_at};
}

}
