#include <session/session_explain.hpp>

#include <algorithm>
#include <random>
#include <string_view>

#include <session/session_homes.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

std::optional<duration> age_of(time_point since, time_point now)
{
    if (since == time_point{})
        return std::nullopt;
    return now - since;
}

std::optional<duration> time_left(time_point until, time_point now)
{
    if (until <= now)
        return std::nullopt;
    return until - now;
}

// Binds a session that belongs to no connection, as begin_operation does for a
// caller's statement.
std::optional<explain_fault> bind_session(const session_task_state& t,
                                          session& s, const explain_query& q)
{
    s.m_database = q.m_database;
    if (!q.m_workspace)
    {
        s.m_key = q.m_key.value_or("");
        const auto fault = begin_operation(t, s);
        if (!fault)
            return std::nullopt;
        return *fault == session_fault::no_database
                   ? explain_fault::unknown_database
                   : explain_fault::unauthorized;
    }
    if (bind_route(t, s))
        return explain_fault::unknown_database;
    if (!t.m_config->m_workspaces.contains(*q.m_workspace))
        return explain_fault::unknown_workspace;
    s.m_workspace = *q.m_workspace;
    return std::nullopt;
}

// The next statement's draw. A copy of the generator leaves it as it is, so
// that the statement that follows makes the same choice.
double peek_draw(const session_task_state& t)
{
    std::minstd_rand copy = t.m_random;
    return std::uniform_real_distribution<double>(0, 1)(copy);
}

explained_workspace explain_workspace(const session_task_state& t,
                                      const work& w, time_point now)
{
    explained_workspace e;
    e.m_name = w.m_session->m_workspace;
    if (e.m_name.empty())
        return e;
    e.m_verdict = judge_rate(t, e.m_name, w, now);
    const auto found = t.m_rates.find(e.m_name);
    if (found == t.m_rates.end())
        return e;
    const workspace_rate& r = found->second;
    rate_bucket bucket = r.m_bucket;
    refill(bucket, now);
    e.m_rate = r.m_rate;
    e.m_burst = r.m_burst;
    e.m_share = share_fraction(t.m_demand, t.m_division, e.m_name);
    e.m_tokens = bucket.m_tokens + r.m_initial_credit;
    e.m_waiting = backlog(r.m_waiting);
    return e;
}

explained_group explain_group(const service_group& g, time_point now)
{
    const group_view& view = g.m_view;
    explained_group e;
    e.m_primary = view.m_primary;
    e.m_term = view.m_term;
    e.m_lease_left = time_left(view.m_lease_until, now);
    e.m_primary_seen_age = age_of(view.m_primary_seen_at, now);
    e.m_primary_contact_age = age_of(g.m_primary_contact_at, now);
    return e;
}

explained_queue explain_queue(const service_group& g, const work& w,
                              time_point now)
{
    const std::string& workspace = w.m_session->m_workspace;
    explained_queue e;
    e.m_waiting = backlog(g.m_queue);
    e.m_class = w.m_turn;
    e.m_must_queue = must_queue(g.m_queue, w.m_turn, workspace);
    e.m_useful_time = w.m_useful_until - now;
    if (!has_priorities(w))
    {
        e.m_estimate = wait_estimate::no_priorities;
        return e;
    }
    e.m_expected = expect_turn(
        g.m_queue, {w.m_turn, workspace, equal_weight, w.m_due}, now);
    if (e.m_expected)
        e.m_estimate = wait_estimate::estimated;
    else if (backlog(g.m_queue, w.m_turn.m_kind) > 0)
        e.m_estimate = wait_estimate::rate_unknown;
    return e;
}

std::optional<duration> reason_left(const endpoint_pool& p,
                                    endpoint_verdict reason, time_point now)
{
    if (reason == endpoint_verdict::busy)
        return time_left(p.m_busy_until, now);
    if (reason == endpoint_verdict::lags)
        return time_left(p.m_lags_until, now);
    if (reason == endpoint_verdict::no_connection)
        return time_left(p.m_full_until, now);
    return std::nullopt;
}

explained_endpoint explain_endpoint(const endpoint_pool& p, const work& w,
                                    time_point now)
{
    const group_view& view = p.m_group->m_view;
    explained_endpoint e;
    e.m_id = p.m_endpoint.m_id;
    e.m_zone = p.m_endpoint.m_zone;
    e.m_region = p.m_region;
    e.m_is_primary = view.m_primary == e.m_id;
    e.m_reason = judge_endpoint(w, p, now);
    if (const auto o = view.m_observations.find(e.m_id);
        o != view.m_observations.end())
    {
        e.m_status_age = age_of(o->second.m_answered_at, now);
        e.m_position = o->second.m_status.m_position;
        e.m_lag_ms = o->second.m_status.m_lag_ms;
    }
    e.m_load_age = age_of(p.m_load.m_measured_at, now);
    e.m_contact_age =
        age_of(std::max(p.m_last_contact_at, p.m_relayed_contact_at), now);
    e.m_slots = p.m_load.m_slots;
    e.m_used = p.m_load.m_used;
    e.m_running = p.m_statements_in_flight;
    e.m_connections = p.m_link_count;
    e.m_connection_limit = p.m_budget.m_limit;
    e.m_has_idle_connection = has_idle_link(p, w.m_session->m_workspace);
    e.m_all_connections = p.m_open_connections;
    return e;
}

// Adds what the choice makes of an endpoint that may run the work.
void explain_choice(explained_endpoint& e, const endpoint_pool& p,
                    std::span<const pool_candidate> found,
                    const std::optional<load_choice>& choice, time_point now)
{
    for (std::size_t i = 0; i < found.size(); ++i)
    {
        if (found[i].m_endpoint_pool != &p)
            continue;
        e.m_cost = expected_cost_of(found, i, now);
        if (!can_run(found[i].m_loaded))
        {
            e.m_reason = endpoint_verdict::no_connection;
            e.m_reason_left = reason_left(p, e.m_reason, now);
        }
        else
            e.m_choice = choice && choice->m_index == i
                             ? choice_verdict::would_be_chosen
                             : choice_verdict::could_be_chosen;
    }
}

void explain_endpoints(session_task_state& t, const work& w, explanation& e,
                       const std::optional<load_choice>& choice,
                       std::span<const pool_candidate> found, time_point now)
{
    for (const auto& [id, p] : t.m_endpoint_pools)
    {
        if (p.m_endpoint.m_service != e.m_route.m_service)
            continue;
        explained_endpoint explained = explain_endpoint(p, w, now);
        explained.m_reason_left = reason_left(p, explained.m_reason, now);
        explain_choice(explained, p, found, choice, now);
        e.m_endpoints.push_back(std::move(explained));
    }
    // What may run the request is listed, however many endpoints there are.
    std::ranges::stable_sort(e.m_endpoints, {}, &explained_endpoint::m_choice);
    if (e.m_endpoints.size() <= max_explained_endpoints)
        return;
    e.m_omitted_endpoints = e.m_endpoints.size() - max_explained_endpoints;
    e.m_endpoints.resize(max_explained_endpoints);
}

request_outcome outcome_of(const explanation& e, bool has_choice)
{
    if (!e.m_home.m_name.empty())
        return request_outcome::passed_on;
    if (!e.m_group)
        return request_outcome::no_group;
    if (has_choice && !e.m_queue->m_must_queue)
        return request_outcome::sent;
    const bool is_hopeless =
        decide_wait(e.m_queue->m_expected, e.m_queue->m_useful_time) ==
        wait_decision::hopeless;
    return is_hopeless ? request_outcome::hopeless : request_outcome::queued;
}

}

explain_result explain(session_task_state& t, const explain_query& query)
{
    if (!t.m_config)
        return explain_fault::no_configuration;
    const time_point now = boot_now();
    const session_ptr s(new session);
    if (const auto fault = bind_session(t, *s, query))
        return *fault;
    session_statement statement;
    statement.m_kind =
        query.m_writes ? statement_kind::write : statement_kind::read;
    const work_ptr w = make_statement_work(*s, {}, statement);
    w->m_draw = peek_draw(t);
    set_deadlines(t, *w, *s, now);

    explanation e;
    e.m_process = t.m_settings.m_name;
    e.m_config_version = s->m_config->m_version;
    e.m_writes = query.m_writes;
    e.m_route = *s->m_route;
    e.m_workspace = explain_workspace(t, *w, now);
    const home_decision home = judge_home(t, *s, now);
    e.m_home = {home.m_verdict, std::string(home.m_home)};
    const auto found = find_candidates(t, *w, now);
    const auto choice = choose_for(*w, found, now);
    if (const auto group = t.m_groups.find(e.m_route.m_service);
        group != t.m_groups.end())
    {
        e.m_group = explain_group(group->second, now);
        e.m_queue = explain_queue(group->second, *w, now);
    }
    explain_endpoints(t, *w, e, choice, found, now);
    e.m_outcome = outcome_of(e, choice.has_value());
    return e;
}

}
