#include <session/session_homes.hpp>

#include <algorithm>

#include <decide/endpoint_choice.hpp>
#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

// An endpoint that replied to anybody this recently before it dropped a
// connection runs, and dropped it for want of room.
constexpr std::chrono::milliseconds alive_contact_age{1000};

// An endpoint's status tells the count once a second or more often.
constexpr std::chrono::seconds max_count_age{2};

void end_avoidance(endpoint_pool& p)
{
    log_event(
        event_id::endpoint_reached,
        {{"endpoint", p.m_endpoint.m_id}, {"service", p.m_endpoint.m_service}});
    p.m_is_avoided = false;
    p.m_avoid_until = {};
}

}

void update_connection_budget(session_task_state& t, endpoint_pool& p,
                              time_point now)
{
    p.m_budget = choose_connection_budget(
        p.m_group->m_service.m_connections,
        connection_users(t, p.m_group->m_service), p.m_open_connections);
    // Who keeps others informed needs a connection also in the last tenth, and
    // a count that nobody renews must not keep everybody out.
    const bool counted = now - p.m_counted_at < max_count_age;
    if (!counted || t.m_reporting || asks_endpoints(t, now))
        p.m_budget.m_limit = std::max(1U, p.m_budget.m_limit);
}

void record_connection_count(endpoint_pool& p, std::uint32_t connections,
                             time_point now)
{
    p.m_open_connections = connections;
    p.m_counted_at = now;
}

void record_contact(endpoint_pool& p, time_point requested_at,
                    const std::optional<log_position>& position)
{
    group_view& view = p.m_group->m_view;
    if (p.m_is_avoided)
        end_avoidance(p);
    p.m_last_contact_at = boot_now();
    p.m_avoid_interval = {};
    if (view.m_primary == p.m_endpoint.m_id)
        p.m_group->m_primary_contact_at = boot_now();
    if (position)
        record_position(view, p.m_endpoint.m_id, *position, requested_at);
}

void record_relayed_contact(endpoint_pool& p, time_point replied_at,
                            std::uint32_t connections)
{
    p.m_relayed_contact_at = std::max(p.m_relayed_contact_at, replied_at);
    const time_point now = boot_now();
    if (now - replied_at < max_count_age)
        record_connection_count(p, connections, now);
    // m_avoid_interval stays: if the endpoint fails for this process again,
    // the next avoidance is longer.
    if (p.m_is_avoided && p.m_relayed_contact_at > p.m_avoided_at &&
        now >= p.m_avoid_until)
        end_avoidance(p);
}

void record_overdue(endpoint_pool& p)
{
    const time_point now = boot_now();
    if (is_unresponsive(p.m_last_contact_at, now))
        return avoid_endpoint(p, "silent");
    p.m_full_until = now + min_full_pause;
}

void avoid_endpoint(endpoint_pool& p, std::string_view cause)
{
    const time_point now = boot_now();
    p.m_avoided_at = now;
    if (now < p.m_avoid_until)
        return;
    p.m_is_avoided = true;
    p.m_avoid_interval = std::clamp<duration>(
        p.m_avoid_interval * 2, min_avoid_interval, max_avoid_interval);
    p.m_avoid_until = now + p.m_avoid_interval;
    log_event(event_id::endpoint_unreachable,
              {{"endpoint", p.m_endpoint.m_id},
               {"service", p.m_endpoint.m_service},
               {"failure", std::string(cause)},
               {"avoided_ms", milliseconds_of(p.m_avoid_interval)}});
}

void record_full(session_task_state& t, endpoint_pool& p)
{
    ++t.m_counts.m_full_endpoints;
    std::uniform_real_distribution<double> unit(0, 1);
    p.m_full_pause = next_full_pause(p.m_full_pause, unit(t.m_random));
    p.m_full_until = boot_now() + p.m_full_pause;
    log_event(event_id::endpoint_full,
              {{"endpoint", p.m_endpoint.m_id},
               {"service", p.m_endpoint.m_service},
               {"open", std::to_string(p.m_open_connections)},
               {"paused_ms", milliseconds_of(p.m_full_pause)}});
}

void record_busy_refusal(session_task_state& t, endpoint_pool& p)
{
    ++t.m_counts.m_busy_endpoints;
    record_full_slots(p.m_load, boot_now());
}

void record_refused_connection(session_task_state& t, const link& k)
{
    endpoint_pool& p = *k.m_endpoint_pool;
    const time_point contact =
        std::max(p.m_last_contact_at, p.m_relayed_contact_at);
    if (k.m_state_since - contact < alive_contact_age)
        return record_full(t, p);
    avoid_endpoint(p, "not greeted");
}

}
