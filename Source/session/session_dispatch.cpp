#include <session/session_task_state.hpp>

#include <algorithm>
#include <utility>

#include <decide/endpoint_verdict.hpp>
#include <decide/load/load_choice.hpp>
#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

bool is_primary(const endpoint_pool& p)
{
    return p.m_group->m_view.m_primary == p.m_endpoint.m_id;
}

endpoint_verdict consistency_verdict(const work& w, const endpoint_pool& p)
{
    const session& s = *w.m_session;
    const group_view& view = p.m_group->m_view;
    const endpoint_verdict verdict =
        judge_consistency(view, p.m_endpoint.m_id,
                          {w.m_writes && !s.m_transaction, w.m_needs_primary,
                           w.m_arrived_at, s.m_route->m_staleness});
    // A commit that is acknowledged without a lease has an unknown outcome.
    const bool may_commit =
        w.m_writes || (s.m_transaction && !s.m_transaction->m_is_read_only);
    return verdict == endpoint_verdict::usable && may_commit &&
                   boot_now() >= commits_allowed_until(view)
               ? endpoint_verdict::no_lease
               : verdict;
}

endpoint_pool* choose_pool(session_task_state& t, const work& w, time_point now)
{
    const std::vector<pool_candidate> found = find_candidates(t, w, now);
    const auto choice = choose_for(w, found, now);
    return choice ? found[choice->m_index].m_endpoint_pool : nullptr;
}

// Choosing has no side effects, as serve_waiting chooses several times for one
// statement; the choice is noted once it is carried out.
void note_start(session_task_state& t, const work& w, const endpoint_pool& p)
{
    const time_point now = boot_now();
    const std::vector<pool_candidate> found = find_candidates(t, w, now);
    const auto choice = choose_for(w, found, now);
    if (choice && found[choice->m_index].m_endpoint_pool == &p)
        note_choice(t, w, found, *choice, now);
}

void start_on_pool(session_task_state& t, const work_ptr& w, endpoint_pool& p)
{
    note_start(t, *w, p);
    const link_ptr k =
        obtain_link(t, p, w->m_session->m_workspace, w->m_session.get());
    if (!k)
        return fail_work(t, w, session_fault::busy, "no connection");
    w->m_link = k;
    k->m_work = w;
    if (k->m_state == link_state::idle)
        send_work(t, *k);
}

bool has_waited_too_long(const work& w, time_point now)
{
    return now >= w.m_send_deadline || now >= w.m_deadline;
}

void end_transaction(session_task_state& t, session& s)
{
    s.m_transaction.reset();
    t.m_charts.m_session.fire(s.m_state, session_event::transaction_finished);
}

}

bool allows_region(const session& s, std::string_view region)
{
    const region_set& route_regions = s.m_route->m_regions;
    if (!route_regions.empty() && !route_regions.contains(region))
        return false;
    const auto workspace = s.m_config->m_workspaces.find(s.m_workspace);
    if (workspace == s.m_config->m_workspaces.end())
        return true;
    const region_set& workspace_regions = workspace->second.m_regions;
    return workspace_regions.empty() || workspace_regions.contains(region);
}

bool meets_consistency(const work& w, const endpoint_pool& p)
{
    return consistency_verdict(w, p) == endpoint_verdict::usable;
}

endpoint_verdict judge_endpoint(const work& w, const endpoint_pool& p,
                                time_point now)
{
    const bool leads = is_primary(p);
    const endpoint_verdict available =
        judge_availability({p.m_is_listed, p.m_is_avoided, p.m_evacuated,
                            p.m_busy_until, p.m_draining_since},
                           w.m_needs_primary && leads, now);
    if (available != endpoint_verdict::usable)
        return available;
    if (!allows_region(*w.m_session, p.m_region))
        return endpoint_verdict::region;
    if (w.m_tried_endpoints.contains(p.m_endpoint.m_id))
        return endpoint_verdict::tried;
    if (!leads && now < p.m_lags_until)
        return endpoint_verdict::lags;
    return consistency_verdict(w, p);
}

std::vector<pool_candidate> find_candidates(session_task_state& t,
                                            const work& w, time_point now)
{
    std::vector<pool_candidate> found;
    const session& s = *w.m_session;
    for (auto& [id, p] : t.m_endpoint_pools)
    {
        if (p.m_endpoint.m_service != s.m_route->m_service ||
            judge_endpoint(w, p, now) != endpoint_verdict::usable)
            continue;
        endpoint_candidate candidate;
        candidate.m_latency_ms = p.m_latency_ms;
        candidate.m_responded_at = p.m_responded_at;
        candidate.m_running = p.m_statements_in_flight;
        candidate.m_has_idle_connection = has_idle_link(p, s.m_workspace);
        candidate.m_can_connect = can_obtain_link(p, s.m_workspace);
        candidate.m_in_other_region = p.m_region != t.m_settings.m_region;
        candidate.m_is_avoidable_primary =
            !w.m_needs_primary && p.m_group->m_view.m_primary == id;
        found.push_back({&p, {candidate, p.m_load}});
    }
    return found;
}

void dispatch(session_task_state& t, const work_ptr& w)
{
    session& s = *w->m_session;
    const time_point now = boot_now();
    if (s.m_transaction && s.m_transaction->m_link)
    {
        w->m_link = s.m_transaction->m_link;
        w->m_link->m_work = w;
        return send_work(t, *w->m_link);
    }
    const auto group = t.m_groups.find(s.m_route->m_service);
    if (group != t.m_groups.end())
        note_use(group->second, now);
    // Statements that wait and go before this one choose first.
    const bool is_later =
        group != t.m_groups.end() &&
        must_queue(group->second.m_queue, w->m_turn, s.m_workspace);
    endpoint_pool* const p = is_later ? nullptr : choose_pool(t, *w, now);
    if (p != nullptr)
    {
        record_turn(p->m_group->m_queue, w->m_turn, s.m_workspace,
                    is_primary(*p), now);
        return start_on_pool(t, w, *p);
    }
    if (group == t.m_groups.end())
        return fail_work(t, w, session_fault::busy, "no endpoints");
    if (has_waited_too_long(*w, now))
    {
        w->m_evidence = describe_group(t, *w, now);
        count_refusal(t, *w, refusal_cause::deadline);
        return fail_work(t, w, session_fault::busy, "waited");
    }
    if (is_logged(event_id::statement_waits))
        log_waiting(*w, "endpoint", describe_group(t, *w, now));
    enqueue(group->second.m_queue, w->m_turn, s.m_workspace, equal_weight, *w,
            now);
    if (is_later)
        serve_waiting(t, group->second);
    if (is_queued(*w))
        review_turn(t, group->second, w, refusal_cause::hopeless_on_arrival);
}

void serve_waiting(session_task_state& t, service_group& g)
{
    const time_point now = boot_now();
    for (;;)
    {
        endpoint_pool* pool = nullptr;
        fair_queue_hook* next =
            next_turn(g.m_queue,
                      [&](fair_queue_hook& item)
                      {
                          endpoint_pool* const chosen =
                              choose_pool(t, static_cast<work&>(item), now);
                          if (chosen != nullptr)
                              pool = chosen;
                          return chosen != nullptr;
                      });
        if (next == nullptr)
            return;
        const work_ptr w(static_cast<work*>(next));
        take_turn(g.m_queue, w->m_turn, *next, is_primary(*pool), now);
        start_on_pool(t, w, *pool);
    }
}

void detach_work(work& w)
{
    remove_from_queue(w);
    w.auto_unlink_hook::unlink();
    w.m_waits_for_rate = false;
    if (w.m_session)
        w.m_session->m_work = nullptr;
    w.m_session = nullptr;
}

void fail_work(session_task_state& t, const work_ptr& w, session_fault fault,
               std::string_view detail)
{
    const session_ptr s = w->m_session;
    if (s)
    {
        log_failed(*w, fault, detail);
        count_outcome(t, *s,
                      guarantees_no_effect(fault) ? session_outcome::refused
                                                  : session_outcome::failed);
    }
    detach_work(*w);
    if (w->m_link)
    {
        const link_ptr k = std::exchange(w->m_link, nullptr);
        k->m_work = nullptr;
    }
    if (!s)
        return;
    if (w->m_kind == statement_kind::commit)
    {
        abort_transaction(t, *s);
        end_transaction(t, *s);
    }
    answer_fault(t, *s, fault, detail);
    resume_session(t, *s);
}

void complete_work(session_task_state& t, const work_ptr& w)
{
    const session_ptr s = w->m_session;
    const time_point now = boot_now();
    detach_work(*w);
    const link_ptr k = std::exchange(w->m_link, nullptr);
    k->m_work = nullptr;
    if (!s)
        return;
    count_served(t, *s, *w);
    log_served(*s, *w, k->m_endpoint_pool->m_endpoint.m_id);
    record_usual_time(*k->m_endpoint_pool->m_group, *s, *w, now);
    if (s->m_transaction)
    {
        s->m_transaction->m_idle_since = now;
        if (w->m_writes)
            s->m_transaction->m_has_written = true;
        if (w->m_kind == statement_kind::commit)
            end_transaction(t, *s);
    }
    answer_ready(t, *s, w->m_answer);
    resume_session(t, *s);
}

void retry_work(session_task_state& t, const work_ptr& w, session_fault fault,
                std::string_view detail)
{
    if (!w->m_session)
    {
        detach_work(*w);
        return;
    }
    const time_point now = boot_now();
    std::string endpoint;
    if (w->m_link)
    {
        endpoint = w->m_link->m_endpoint_pool->m_endpoint.m_id;
        retract_turn(w->m_link->m_endpoint_pool->m_group->m_queue, w->m_turn);
        w->m_tried_endpoints.insert(endpoint);
        w->m_link->m_work = nullptr;
        w->m_link = nullptr;
    }
    w->m_answer.clear();
    w->m_sent_at = {};
    const bool in_time = now < w->m_deadline;
    if (!in_time || w->m_attempts >= max_statement_attempts)
        return fail_work(t, w, fault, detail);
    // Work that only the primary can run may be tried there again.
    if (w->m_needs_primary)
        w->m_tried_endpoints.clear();
    w->m_send_deadline = std::max(
        w->m_send_deadline, now + (w->m_deadline - now) / std::int64_t{4});
    w->m_useful_until = std::max(w->m_useful_until, w->m_send_deadline);
    ++t.m_counts.m_retries;
    log_retried(*w, endpoint, fault, detail);
    dispatch(t, w);
}

void check_deadlines(session_task_state& t, time_point now)
{
    review_waiting(t, now);
    std::vector<work_ptr> overdue;
    std::vector<work_ptr> to_resend;
    for (work& w : t.m_pending_work)
    {
        const bool sent = w.m_sent_at != time_point{};
        bool is_overdue = now >= w.m_deadline;
        if (sent)
            is_overdue = is_overdue || now >= w.m_attempt_deadline;
        else if (!w.m_link && !w.m_waits_for_rate) // See tick_rates().
            is_overdue = is_overdue || now >= w.m_send_deadline;
        if (is_overdue)
            overdue.emplace_back(&w);
        else if (w.m_resend_at != time_point{} && now >= w.m_resend_at)
            to_resend.emplace_back(&w);
    }
    for (const work_ptr& w : to_resend)
    {
        w->m_resend_at = {};
        if (w->m_link && w->m_link->m_state == link_state::pinned)
            send_work(t, *w->m_link);
    }
    for (const work_ptr& w : overdue)
    {
        if (!w->auto_unlink_hook::is_linked())
            continue;
        if (w->m_sent_at == time_point{})
        {
            w->m_evidence = describe_group(t, *w, now);
            if (!w->m_link)
                count_refusal(t, *w, refusal_cause::deadline);
            // A connection that is still being established for this work stays
            // open for other work.
            fail_work(t, w, session_fault::busy,
                      w->m_link ? "no answer to its begin"
                                : "no free endpoint");
            continue;
        }
        const link_ptr k = w->m_link;
        record_overdue(*k->m_endpoint_pool);
        if (keeps_awaiting_commit(t, *w, now))
            await_overdue_commit(t, w);
        else
            fail_link(t, *k, "no answer in time");
    }
}

}
