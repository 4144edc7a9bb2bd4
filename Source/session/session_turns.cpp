#include <session/session_task_state.hpp>

#include <utility>

#include <decide/endpoint_choice.hpp>
#include <decide/load/turn_wait.hpp>
#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

turn_class turn_class_of(const session& s, bool needs_primary)
{
    if (!s.m_config->m_has_priorities)
        return {};
    return {s.m_route->m_priority,
            needs_primary ? turn_kind::primary_only : turn_kind::reads};
}

// Usual times at the endpoints of the operations that wait in one line.
struct usual_times
{
    duration m_statement{};
    duration m_transaction{};
};

duration known_or_default(duration usual)
{
    constexpr std::chrono::duration<double, std::milli> unknown{
        default_latency_ms};
    return usual == duration{} ? std::chrono::duration_cast<duration>(unknown)
                               : usual;
}

usual_times usual_times_of(const session_task_state& t, const work& w,
                           const session& s)
{
    usual_times usual;
    if (const auto group = t.m_groups.find(s.m_route->m_service);
        group != t.m_groups.end())
    {
        const auto& lines = group->second.m_queue.m_lines;
        if (const auto line = lines.find(w.m_turn); line != lines.end())
            usual = {line->second.m_statement_time.m_mean,
                     line->second.m_transaction_time.m_mean};
    }
    return {known_or_default(usual.m_statement),
            known_or_default(usual.m_transaction)};
}

std::string describe_turn(const work& w, const expected_turn& e,
                          duration useful_time)
{
    const auto rounded = [](double value)
    {
        constexpr int per_unit = 10;
        const auto tenths = static_cast<long>(value * per_unit);
        return std::to_string(tenths / per_unit) + "." +
               std::to_string(tenths % per_unit);
    };
    std::string text = "priority " + std::to_string(w.m_turn.m_priority) +
                       ", " + std::string(to_string(w.m_turn.m_kind)) + ", ";
    text.append(std::to_string(e.m_ahead)).append(" ahead, ");
    text.append(rounded(e.m_rate.m_low)).append(" to ");
    text.append(rounded(e.m_rate.m_high)).append(" turns a second, last ");
    text.append(milliseconds_of(e.m_rate_age)).append(" ms ago, turn in ");
    text.append(milliseconds_of(e.m_earliest)).append(" to ");
    text.append(milliseconds_of(e.m_latest)).append(" ms, useful for ");
    text.append(milliseconds_of(useful_time)).append(" ms");
    return text;
}

std::string_view to_detail(refusal_cause cause)
{
    return cause == refusal_cause::hopeless_on_arrival
               ? "hopeless on arrival"
               : "hopeless while waiting";
}

}

void set_turn(const session_task_state& t, work& w, const session& s)
{
    w.m_turn = turn_class_of(s, w.m_needs_primary);
    if (!has_priorities(w))
    {
        w.m_useful_until = w.m_send_deadline;
        return;
    }
    const usual_times usual = usual_times_of(t, w, s);
    w.m_useful_until = useful_until(
        {w.m_arrived_at, s.m_route->m_latency_objective,
         w.m_starts_transaction ? usual.m_transaction : usual.m_statement,
         usual.m_statement, w.m_send_deadline, w.m_deadline});
    w.m_due = w.m_useful_until;
}

// Without priorities in the configuration nothing is told apart, and statements
// are served in the order of their arrival, fairly among workspaces.
bool has_priorities(const work& w)
{
    return w.m_turn.m_kind != turn_kind::any;
}

bool is_queued(const work& w)
{
    return w.m_flow != nullptr;
}

void review_turn(session_task_state& t, service_group& g, const work_ptr& w,
                 refusal_cause cause)
{
    if (!has_priorities(*w))
        return;
    const time_point now = boot_now();
    const auto expected = expect_turn(
        g.m_queue,
        {w->m_turn, w->m_session->m_workspace, equal_weight, w->m_due, w.get()},
        now);
    const duration useful_time = w->m_useful_until - now;
    switch (decide_wait(expected, useful_time))
    {
    case wait_decision::hopeless:
        w->m_evidence = describe_turn(*w, *expected, useful_time);
        count_refusal(t, *w, cause);
        return fail_work(t, w, session_fault::busy, to_detail(cause));
    case wait_decision::in_time:
        if (w->m_send_deadline >= w->m_useful_until)
            return;
        w->m_send_deadline = w->m_useful_until;
        return log_wait_extended(*w, describe_turn(*w, *expected, useful_time));
    case wait_decision::unknown:
        return;
    }
}

void review_waiting(session_task_state& t, time_point now)
{
    for (auto& [name, g] : t.m_groups)
    {
        update_backlog(g.m_queue, now);
        if (now < g.m_next_review_at || backlog(g.m_queue) == 0)
            continue;
        g.m_next_review_at =
            now + turn_review_interval +
            turn_review_spacing * static_cast<std::int64_t>(backlog(g.m_queue));
        std::vector<work_ptr> waiting;
        for_each_item(g.m_queue,
                      [&](fair_queue_hook& item)
                      {
                          waiting.emplace_back(&static_cast<work&>(item));
                      });
        // In the order of the lines, so that a refusal shortens the wait of
        // those behind it before they are reviewed.
        for (const work_ptr& w : waiting)
            if (is_queued(*w))
                review_turn(t, g, w, refusal_cause::hopeless_while_waiting);
    }
}

void record_usual_time(service_group& g, session& s, const work& w,
                       time_point now)
{
    turn_line& line = g.m_queue.m_lines[w.m_turn];
    if (!s.m_transaction)
        return record_service_time(line.m_statement_time, now - w.m_sent_at);
    session_transaction& x = *s.m_transaction;
    if (w.m_starts_transaction)
        x.m_first_sent_at = w.m_sent_at;
    if (w.m_kind == statement_kind::commit && x.m_first_sent_at != time_point{})
        record_service_time(line.m_transaction_time, now - x.m_first_sent_at);
}

}
