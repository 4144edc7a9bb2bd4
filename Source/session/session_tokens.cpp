#include <session/session_task_state.hpp>

#include <algorithm>
#include <utility>
#include <vector>

#include <decide/endpoint_choice.hpp>
#include <decide/load/turn_wait.hpp>
#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

// Minimum time to the next token request, even if the cell leader expects a
// token sooner: the interval at which waiting operations are checked.
constexpr std::chrono::milliseconds min_request_interval{20};
// Maximum number of tokens that one request asks for a workspace.
constexpr std::size_t max_requested_tokens = 64;

std::string describe_leader_answer(std::string_view answer,
                                   const workspace_rate& r)
{
    return std::string(answer) + ", " + std::to_string(backlog(r.m_waiting)) +
           " waiting";
}

// The latest time to be sent at which the answer is useful to the caller. The
// work knows it only where the configuration has priorities.
time_point useful_time_of(const work& w)
{
    if (w.m_turn.m_kind != turn_kind::any)
        return w.m_useful_until;
    constexpr auto usual = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(default_latency_ms));
    return useful_until({w.m_arrived_at,
                         w.m_session->m_route->m_latency_objective, usual,
                         usual, w.m_send_deadline, w.m_deadline});
}

std::uint32_t own_credit_of(const session_task_state& t,
                            std::string_view workspace, const workspace_rate& r)
{
    const home_directory& d = t.m_homes;
    const std::vector<std::string_view> regions(d.m_regions.begin(),
                                                d.m_regions.end());
    return own_credit(
        own_credit_total(excess_of(t, r)), workspace,
        {t.m_settings.m_name, t.m_settings.m_region, regions, &d.m_table});
}

void send_token_request(session_task_state& t, time_point now)
{
    if (t.m_token_request_pending)
        return;
    token_request m;
    for (auto& [name, r] : t.m_rates)
        if (now >= r.m_next_request_at && has_waiting_work(r))
            m.m_tokens.push_back(
                {name, static_cast<std::uint32_t>(std::min(
                           backlog(r.m_waiting), max_requested_tokens))});
    if (m.m_tokens.empty())
        return;
    t.m_token_request_pending = true;
    t.m_mailboxes.m_site.post(std::move(m));
}

// Refuses the operations that can't wait for the next token request.
void refuse_without_leader(session_task_state& t, workspace_rate& r,
                           time_point next_request_at, std::string_view answer)
{
    refuse_expired(t, r, next_request_at,
                   [&](const work&)
                   {
                       return describe_leader_answer(answer, r);
                   });
}

}

duration time_until_tokens(const workspace_rate& r, std::uint32_t refused)
{
    constexpr double max_seconds = 60;
    if (refused == 0)
        return {};
    const double missing_tokens = refused - r.m_bucket.m_tokens;
    const double seconds =
        r.m_bucket.m_rate > 0
            ? std::clamp(missing_tokens / r.m_bucket.m_rate, 0.0, max_seconds)
            : max_seconds;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

void end_cold_start(session_task_state& t, std::string_view cause)
{
    if (std::exchange(t.m_cold_start.m_is_over, true))
        return;
    std::size_t waiting = 0;
    for (const auto& [name, r] : t.m_rates)
        waiting += backlog(r.m_waiting);
    log_event(
        event_id::cold_start_over,
        {{"cause", std::string(cause)},
         {"age_ms", milliseconds_of(boot_now() - t.m_cold_start.m_started_at)},
         {"own_credit_used", std::to_string(t.m_counts.m_own_credit_used)},
         {"waiting", std::to_string(waiting)}});
}

bool admit_from_own_credit(session_task_state& t, std::string_view workspace,
                           workspace_rate& r, time_point now)
{
    // Computed anew each time: the list of members may have grown meanwhile.
    if (!may_use_own_credit(t.m_cold_start, now) ||
        r.m_own_credit_used >= own_credit_of(t, workspace, r))
        return false;
    ++r.m_own_credit_used;
    ++t.m_counts.m_own_credit_used;
    if (is_logged(event_id::own_credit_used))
        log_event(
            event_id::own_credit_used,
            {{"workspace", std::string(workspace)},
             {"used", std::to_string(r.m_own_credit_used)},
             {"age_ms", milliseconds_of(now - t.m_cold_start.m_started_at)},
             {"members", std::to_string(t.m_homes.m_members.size())}});
    return true;
}

void extend_wait_for_leader(const session_task_state& t, work& w)
{
    const time_point until = wait_for_leader_until(
        t.m_cold_start, w.m_send_deadline, useful_time_of(w));
    if (until <= w.m_send_deadline)
        return;
    w.m_send_deadline = until;
    w.m_useful_until = std::max(w.m_useful_until, until);
    log_wait_extended(w, "no cell leader has been elected since the start");
}

void apply_cell_leadership(session_task_state& t, const cell_leadership& m)
{
    const bool new_incarnation = m.m_valid_until != time_point{} &&
                                 m.m_incarnation != t.m_leader_incarnation;
    t.m_leader_until = m.m_valid_until;
    if (m.m_valid_until != time_point{})
        end_cold_start(t, "leads its cell");
    if (!new_incarnation)
        return;
    t.m_leader_incarnation = m.m_incarnation;
    const std::string self = t.m_demand.m_self;
    reset_division(t, self, boot_now());
}

void await_leader_tokens(session_task_state& t, workspace_rate& r,
                         const work_ptr& w)
{
    if (is_logged(event_id::statement_waits))
        log_waiting(*w, "rate",
                    describe_leader_answer("asks the cell leader", r));
    const time_point now = boot_now();
    extend_wait_for_leader(t, *w);
    await_token(r, *w, now);
    send_token_request(t, now);
}

void apply_token_response(session_task_state& t, const token_response& m)
{
    t.m_token_request_pending = false;
    t.m_leader_is_silent = !m.m_is_answered;
    const time_point now = boot_now();
    if (m.m_is_answered)
        end_cold_start(t, "a cell leader answered");
    for (const workspace_tokens& grant : m.m_tokens)
    {
        const auto found = t.m_rates.find(grant.m_workspace);
        if (found == t.m_rates.end())
            continue;
        workspace_rate& r = found->second;
        for (std::uint32_t n = 0; n < grant.m_count; ++n)
            admit_next(t, r, now);
        if (grant.m_wait == duration{})
            continue;
        r.m_next_request_at =
            now + std::max<duration>(grant.m_wait, min_request_interval);
        refuse_without_leader(t, r, r.m_next_request_at,
                              "the cell leader has none in time");
    }
    if (!m.m_is_answered)
        for (auto& [name, r] : t.m_rates)
            if (has_waiting_work(r))
                r.m_next_request_at =
                    std::max(r.m_next_request_at,
                             now + token_retry_after(t.m_cold_start, now));
    send_token_request(t, now);
}

workspace_tokens grant_tokens(session_task_state& t, workspace_rate& r,
                              const workspace_tokens& request, time_point now)
{
    decay_arrivals(r, now);
    r.m_recent_arrivals += request.m_count;
    workspace_tokens granted{request.m_workspace, 0};
    // Operations that wait in this process arrived first and go first.
    while (granted.m_count < request.m_count && !has_waiting_work(r) &&
           admit_one(r, now))
        ++granted.m_count;
    const std::uint32_t missing = request.m_count - granted.m_count;
    granted.m_wait = time_until_tokens(r, missing);
    if (missing > 0 && uses_transfers(t, r) &&
        may_get_transfer(r.m_transfers, now + transfer_time, now))
    {
        r.m_transfers.m_missing += missing;
        granted.m_wait = std::min<duration>(granted.m_wait, transfer_time);
    }
    return granted;
}

void answer_peer_tokens(session_task_state& t, const incoming_token_request& m)
{
    const time_point now = boot_now();
    outgoing_token_grant answer{
        m.m_exchange, controls_rates(t, now) && t.m_has_cell_leaders, {}};
    for (const workspace_tokens& request : m.m_tokens)
    {
        const auto found = t.m_rates.find(request.m_workspace);
        if (!answer.m_is_leader || found == t.m_rates.end())
            continue;
        workspace_rate& r = found->second;
        answer.m_tokens.push_back(
            m.m_from_other_cell
                ? workspace_tokens{request.m_workspace,
                                   give_tokens(t, r, request.m_count, now)}
                : grant_tokens(t, r, request, now));
    }
    t.m_mailboxes.m_site.post(std::move(answer));
}

void tick_tokens(session_task_state& t, time_point now)
{
    for (auto& [name, r] : t.m_rates)
    {
        // Work may have waited since before the members were known.
        while (has_waiting_work(r) && admit_from_own_credit(t, name, r, now))
            admit_next(t, r, now);
        refuse_without_leader(t, r, now, "no answer of the cell leader");
    }
    send_token_request(t, now);
}

}
