#include <session/session_homes.hpp>

#include <algorithm>
#include <array>
#include <functional>

#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

// Most workspaces, and most services, that get metrics of their own; a scrape
// stays small this way.
constexpr std::size_t max_labels = 50;

constexpr std::array<std::string_view, 4> outcome_names{"served", "refused",
                                                        "failed", "gone"};
constexpr std::array route_kinds{read_consistency::primary,
                                 read_consistency::bounded,
                                 read_consistency::own_writes};

constexpr std::array<std::string_view, refusal_cause_count> cause_names{
    "hopeless_on_arrival", "hopeless_while_waiting", "deadline", "rate"};
constexpr std::array<std::string_view, counted_priorities> priority_names{
    "0", "1", "2", "3", "4", "5", "6", "7 or more"};

priority_counts& priority_counts_of(session_task_state& t, const work& w)
{
    return t.m_counts.m_priorities[std::min<std::size_t>(
        w.m_turn.m_priority, counted_priorities - 1)];
}

// Priorities that no statement has had are left out.
void collect_priorities(metric_families& families, const session_counts& c)
{
    for (std::size_t i = 0; i < counted_priorities; ++i)
    {
        const priority_counts& p = c.m_priorities[i];
        const bool is_used =
            std::ranges::any_of(p.m_wait_time.m_buckets, std::identity()) ||
            std::ranges::any_of(p.m_refusals, std::identity());
        if (!is_used)
            continue;
        add_histogram(families, metric_id::session_turn_wait,
                      std::array{priority_names[i]}, p.m_wait_time);
        for (std::size_t k = 0; k < cause_names.size(); ++k)
            add_value(families, metric_id::session_refusals,
                      std::array{cause_names[k], priority_names[i]},
                      static_cast<double>(p.m_refusals[k]));
    }
}

route_counts& route_counts_of(session_task_state& t, const session& s)
{
    return t.m_counts
        .m_routes[static_cast<std::size_t>(s.m_route->m_consistency)];
}

void collect_routes(metric_families& families, const session_counts& c)
{
    for (const read_consistency kind : route_kinds)
    {
        const route_counts& r = c.m_routes[static_cast<std::size_t>(kind)];
        const std::array route{to_string(kind)};
        for (std::size_t i = 0; i < outcome_names.size(); ++i)
            add_value(families, metric_id::session_statements,
                      std::array{to_string(kind), outcome_names[i]},
                      static_cast<double>(r.m_outcomes[i]));
        add_histogram(families, metric_id::session_wait_time, route,
                      r.m_wait_time);
        add_histogram(families, metric_id::session_endpoint_time, route,
                      r.m_endpoint_time);
        add_histogram(families, metric_id::session_time, route, r.m_total_time);
    }
}

// Adds this process's view of the groups, with its age, and of the rates.
void collect_groups_and_rates(metric_families& families,
                              const session_task_state& t, time_point now)
{
    std::size_t label_count = 0;
    for (const auto& [name, g] : t.m_groups)
    {
        if (++label_count > max_labels)
            break;
        const std::array service{std::string_view(name)};
        add_value(families, metric_id::group_term, service,
                  static_cast<double>(g.m_view.m_term));
        // Without any lease so far the age is capped at a year, which stands
        // out in a graph.
        const duration age =
            now - (g.m_view.m_lease_until - leader_lease_duration);
        add_value(families, metric_id::group_term_age, service,
                  to_seconds(std::clamp<duration>(age, duration::zero(),
                                                  std::chrono::years(1))));
    }
    label_count = 0;
    for (const auto& [name, r] : t.m_rates)
    {
        if (++label_count > max_labels)
            break;
        const std::array workspace{std::string_view(name)};
        add_value(families, metric_id::rate_part, workspace,
                  share_fraction(t.m_demand, t.m_division, name));
        add_value(families, metric_id::rate_tokens, workspace,
                  r.m_bucket.m_tokens);
    }
}

}

void count_fault(session_task_state& t, session_fault fault)
{
    ++t.m_counts.m_faults[fault];
}

void count_outcome(session_task_state& t, const session& s, session_outcome o)
{
    ++route_counts_of(t, s).m_outcomes[static_cast<std::size_t>(o)];
}

void count_refusal(session_task_state& t, const work& w, refusal_cause cause)
{
    ++priority_counts_of(t, w).m_refusals[static_cast<std::size_t>(cause)];
}

void count_sent(session_task_state& t, const link& k, const work& w, bool reads)
{
    observe(route_counts_of(t, *w.m_session).m_wait_time,
            w.m_sent_at - w.m_received_at);
    observe(priority_counts_of(t, w).m_wait_time,
            w.m_sent_at - w.m_received_at);
    if (!reads)
        return;
    const endpoint_pool& p = *k.m_endpoint_pool;
    ++(p.m_group->m_view.m_primary == p.m_endpoint.m_id
           ? t.m_counts.m_primary_reads
           : t.m_counts.m_replica_reads);
}

void count_served(session_task_state& t, const session& s, const work& w)
{
    const time_point now = boot_now();
    observe(route_counts_of(t, s).m_endpoint_time, now - w.m_sent_at);
    observe(route_counts_of(t, s).m_total_time, now - w.m_received_at);
    count_outcome(t, s, session_outcome::served);
}

metric_families collect_session_metrics(const session_task_state& t)
{
    metric_families families;
    const session_counts& c = t.m_counts;
    collect_routes(families, c);
    collect_priorities(families, c);
    for (const auto& [fault, count] : c.m_faults)
        add_value(families, metric_id::session_faults,
                  std::array{to_string(fault)}, static_cast<double>(count));
    std::size_t open = 0;
    for (const session& s : t.m_sessions)
        open += s.m_state != session_state::closed ? 1U : 0U;
    add_value(families, metric_id::sessions_open, {},
              static_cast<double>(open));
    add_value(families, metric_id::endpoint_links_opened, {},
              static_cast<double>(c.m_links_opened));
    add_value(families, metric_id::connections_failed,
              std::array{std::string_view("endpoint")},
              static_cast<double>(c.m_links_failed));
    add_value(families, metric_id::connections_failed,
              std::array{std::string_view("home")},
              static_cast<double>(c.m_home_links_failed));
    add_value(families, metric_id::endpoint_links_refused, {},
              static_cast<double>(c.m_full_endpoints));
    add_value(families, metric_id::endpoint_busy, {},
              static_cast<double>(c.m_busy_endpoints));
    add_value(families, metric_id::endpoint_choices,
              std::array{std::string_view("best")},
              static_cast<double>(c.m_best_choices));
    add_value(families, metric_id::endpoint_choices,
              std::array{std::string_view("other")},
              static_cast<double>(c.m_other_choices));
    add_value(families, metric_id::acknowledgements_unproven, {},
              static_cast<double>(c.m_unproven_acknowledgements));
    add_value(families, metric_id::own_credit_used, {},
              static_cast<double>(c.m_own_credit_used));
    add_value(families, metric_id::tokens_transferred,
              std::array{std::string_view("received")},
              static_cast<double>(c.m_tokens_received));
    add_value(families, metric_id::tokens_transferred,
              std::array{std::string_view("given")},
              static_cast<double>(c.m_tokens_given));
    add_value(families, metric_id::group_requests, {},
              static_cast<double>(c.m_relay_requests));
    add_value(families, metric_id::relayed_groups,
              std::array{std::string_view("full")},
              static_cast<double>(c.m_groups_in_full));
    add_value(families, metric_id::relayed_groups,
              std::array{std::string_view("change")},
              static_cast<double>(c.m_groups_changed));
    add_value(families, metric_id::relayed_groups,
              std::array{std::string_view("unchanged")},
              static_cast<double>(c.m_groups_unchanged));
    add_value(families, metric_id::session_reads,
              std::array{std::string_view("primary")},
              static_cast<double>(c.m_primary_reads));
    add_value(families, metric_id::session_reads,
              std::array{std::string_view("replica")},
              static_cast<double>(c.m_replica_reads));
    add_value(families, metric_id::session_retries, {},
              static_cast<double>(c.m_retries));
    add_value(families, metric_id::status_questions, {},
              static_cast<double>(c.m_status_requests));
    collect_home_metrics(families, t);
    for (std::size_t i = 0; i < client_fault_count; ++i)
        add_value(families, metric_id::clients_closed,
                  std::array{to_string(static_cast<client_fault>(i))},
                  static_cast<double>(t.m_clients.m_closed.at(i)));
    add_value(families, metric_id::client_bytes, {},
              static_cast<double>(t.m_clients.m_shared_used));
    add_value(families, metric_id::accepting_pauses, {},
              static_cast<double>(t.m_clients.m_pauses));
    collect_usage(families, t.m_usage);
    collect_groups_and_rates(families, t, boot_now());
    return families;
}

}
