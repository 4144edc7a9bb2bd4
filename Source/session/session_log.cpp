#include <session/session_task_state.hpp>

#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

std::string version_of(const site_config_ptr& config)
{
    return std::to_string(config ? config->m_version : 0);
}

std::string describe_position(const std::optional<log_position>& p)
{
    if (!p)
        return "none";
    return std::to_string(p->m_term) + ":" + std::to_string(p->m_offset);
}

std::string describe_lease(const group_view& view, time_point now)
{
    return now < view.m_lease_until ? milliseconds_of(view.m_lease_until - now)
                                    : "none";
}

std::string describe_lease_left(const std::optional<acknowledged_commit>& c)
{
    return c ? milliseconds_of(c->m_lease_left) : "none";
}

std::string describe_lease_term(const std::optional<acknowledged_commit>& c)
{
    return c ? std::to_string(c->m_lease_term) : "none";
}

std::string_view to_string(session_state s)
{
    switch (s)
    {
    case session_state::starting:
        return "starting";
    case session_state::idle:
        return "no transaction";
    case session_state::in_transaction:
        return "in a transaction";
    case session_state::in_failed_transaction:
        return "in a failed transaction";
    case session_state::closed:
        break;
    }
    return "closed";
}

std::string endpoint_of(const work& w)
{
    return w.m_link ? w.m_link->m_endpoint_pool->m_endpoint.m_id
                    : std::string();
}

// Processing history of a statement that failed or was refused, for the log.
struct failure_details
{
    std::string m_evidence;
    std::string m_endpoint;
    std::uint32_t m_attempts = 0;
    duration m_age{};
    std::string m_sent_ms_ago = "never";
    std::string m_config_version;
};

void log_statement_failed(const session& s, std::string_view id,
                          session_fault fault, std::string_view detail,
                          const failure_details& u)
{
    log_event(event_id::statement_failed,
              {{"request", std::string(id)},
               {"session", std::to_string(s.m_number)},
               {"database", s.m_database},
               {"workspace", s.m_workspace},
               {"outcome", std::string(to_string(fault))},
               {"detail", std::string(detail)},
               {"evidence", u.m_evidence},
               {"endpoint", u.m_endpoint},
               {"attempts", std::to_string(u.m_attempts)},
               {"age_ms", milliseconds_of(u.m_age)},
               {"sent_ms_ago", u.m_sent_ms_ago},
               {"config_version", u.m_config_version}});
}

}

std::string describe_group(const session_task_state& t, const work& w,
                           time_point now)
{
    const auto found = t.m_groups.find(w.m_session->m_route->m_service);
    if (found == t.m_groups.end())
        return "no endpoint of the service is listed";
    const group_view& view = found->second.m_view;
    std::string text = view.m_primary.empty() ? "no primary known"
                                              : "primary " + view.m_primary;
    text.append(", term ").append(std::to_string(view.m_term));
    text.append(now < view.m_lease_until
                    ? ", lease for " + describe_lease(view, now) + " ms"
                    : ", no lease");
    for (const auto& [id, p] : t.m_endpoint_pools)
    {
        if (p.m_group != &found->second)
            continue;
        text.append("; ").append(id).append(": ");
        text.append(std::to_string(p.m_link_count)).append(" of ");
        text.append(std::to_string(p.m_budget.m_limit))
            .append(" connections, ");
        text.append(std::to_string(p.m_statements_in_flight))
            .append(" running");
        if (p.m_is_avoided)
            text.append(", avoided");
        if (p.m_draining_since != time_point{})
            text.append(", leaving");
    }
    return text;
}

void log_failed(const work& w, session_fault fault, std::string_view detail)
{
    const time_point now = boot_now();
    failure_details u;
    u.m_evidence = w.m_evidence;
    u.m_endpoint = endpoint_of(w);
    u.m_attempts = w.m_attempts;
    u.m_age = now - w.m_received_at;
    if (w.m_sent_at != time_point{})
        u.m_sent_ms_ago = milliseconds_of(now - w.m_sent_at);
    u.m_config_version = version_of(w.m_session->m_config);
    log_statement_failed(*w.m_session, w.m_id, fault, detail, u);
}

void log_refused(const session_task_state& t, const session& s,
                 std::string_view id, session_fault fault,
                 std::string_view detail)
{
    failure_details u;
    u.m_evidence = to_string(s.m_state);
    u.m_config_version = version_of(t.m_config);
    log_statement_failed(s, id, fault, detail, u);
}

void log_waiting(const work& w, std::string_view cause,
                 std::string_view evidence)
{
    const time_point now = boot_now();
    log_event(event_id::statement_waits,
              {{"request", w.m_id},
               {"session", std::to_string(w.m_session->m_number)},
               {"workspace", w.m_session->m_workspace},
               {"cause", std::string(cause)},
               {"evidence", std::string(evidence)},
               {"age_ms", milliseconds_of(now - w.m_received_at)},
               {"waits_at_most_ms", milliseconds_of(w.m_send_deadline - now)},
               {"config_version", version_of(w.m_session->m_config)}});
}

void log_sent(const link& k, const work& w,
              const std::optional<log_position>& floor)
{
    if (!is_logged(event_id::statement_sent))
        return;
    const endpoint_pool& p = *k.m_endpoint_pool;
    const group_view& view = p.m_group->m_view;
    const session& s = *w.m_session;
    const time_point now = boot_now();
    const bool is_primary = view.m_primary == p.m_endpoint.m_id;
    log_event(event_id::statement_sent,
              {{"request", w.m_id},
               {"session", std::to_string(s.m_number)},
               {"workspace", s.m_workspace},
               {"route", std::string(to_string(s.m_route->m_consistency))},
               {"endpoint", p.m_endpoint.m_id},
               {"part", is_primary ? "primary" : "replica"},
               {"term", std::to_string(view.m_term)},
               {"lease_ms", describe_lease(view, now)},
               {"floor", describe_position(floor)},
               {"transaction", k.m_in_transaction ? "open" : "none"},
               {"running", std::to_string(p.m_statements_in_flight)},
               {"attempt", std::to_string(w.m_attempts)},
               {"age_ms", milliseconds_of(now - w.m_received_at)},
               {"config_version", version_of(s.m_config)}});
}

void log_retried(const work& w, std::string_view endpoint, session_fault fault,
                 std::string_view detail)
{
    const time_point now = boot_now();
    log_event(event_id::statement_retried,
              {{"request", w.m_id},
               {"session", std::to_string(w.m_session->m_number)},
               {"endpoint", std::string(endpoint)},
               {"fault", std::string(to_string(fault))},
               {"detail", std::string(detail)},
               {"attempts", std::to_string(w.m_attempts)},
               {"age_ms", milliseconds_of(now - w.m_received_at)},
               {"left_ms", milliseconds_of(w.m_deadline - now)}});
}

void log_connection(event_id id, const link& k, std::string_view cause,
                    std::string_view request)
{
    if (!is_logged(id))
        return;
    const endpoint_pool& p = *k.m_endpoint_pool;
    log_event(id, {{"endpoint", p.m_endpoint.m_id},
                   {"workspace", k.m_workspace},
                   {"cause", std::string(cause)},
                   {"connections", std::to_string(p.m_link_count)},
                   {"limit", std::to_string(p.m_budget.m_limit)},
                   {"state_ms", milliseconds_of(boot_now() - k.m_state_since)},
                   {"request", std::string(request)}});
}

void log_served(const session& s, const work& w, std::string_view endpoint)
{
    if (!is_logged(event_id::statement_served))
        return;
    const time_point now = boot_now();
    log_event(event_id::statement_served,
              {{"request", w.m_id},
               {"session", std::to_string(s.m_number)},
               {"endpoint", std::string(endpoint)},
               {"own", describe_position(s.m_commit_position)},
               {"commit", describe_position(w.m_acknowledged
                                                ? w.m_acknowledged->m_position
                                                : std::nullopt)},
               {"commit_lease_ms", describe_lease_left(w.m_acknowledged)},
               {"commit_lease_term", describe_lease_term(w.m_acknowledged)},
               {"attempts", std::to_string(w.m_attempts)},
               {"age_ms", milliseconds_of(now - w.m_received_at)},
               {"sent_ms_ago", milliseconds_of(now - w.m_sent_at)}});
}

void log_unproven(const work& w, const std::optional<log_position>& position)
{
    const endpoint_pool& p = *w.m_link->m_endpoint_pool;
    const group_view& view = p.m_group->m_view;
    const time_point now = boot_now();
    // A lease in force doesn't count for a commit of another term.
    std::string ended = milliseconds_of(now - view.m_lease_until);
    if (view.m_lease_until == time_point{})
        ended = "none in this term";
    else if (now < view.m_lease_until)
        ended = "in force";
    log_event(event_id::acknowledgement_unproven,
              {{"request", w.m_id},
               {"session", std::to_string(w.m_session->m_number)},
               {"endpoint", p.m_endpoint.m_id},
               {"position", describe_position(position)},
               {"term", std::to_string(view.m_term)},
               {"lease_ended_ms_ago", ended},
               {"sent_ms_ago", milliseconds_of(now - w.m_sent_at)}});
}

void log_wait_extended(const work& w, std::string_view evidence)
{
    if (!is_logged(event_id::wait_extended))
        return;
    const time_point now = boot_now();
    log_event(event_id::wait_extended,
              {{"request", w.m_id},
               {"session", std::to_string(w.m_session->m_number)},
               {"workspace", w.m_session->m_workspace},
               {"evidence", std::string(evidence)},
               {"age_ms", milliseconds_of(now - w.m_received_at)},
               {"waits_at_most_ms", milliseconds_of(w.m_send_deadline - now)},
               {"config_version", version_of(w.m_session->m_config)}});
}

}
