#include <session/session_homes.hpp>

#include <algorithm>

#include <report/event.hpp>
#include <session/session_failures.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

void log_passed_on(const session_task_state& t, const work& w,
                   std::string_view home, std::string_view from)
{
    if (!is_logged(event_id::session_passed_on))
        return;
    const home_directory& d = t.m_homes;
    const session& s = *w.m_session;
    const auto homes = d.m_table.find(s.m_route->m_service);
    log_event(
        event_id::session_passed_on,
        {{"request", w.m_id},
         {"session", std::to_string(s.m_number)},
         {"home", std::string(home)},
         {"from", std::string(from)},
         {"service", s.m_route->m_service},
         {"workspace", s.m_workspace},
         {"homes",
          std::to_string(homes == d.m_table.end() ? 0 : homes->second.size())},
         {"processes", std::to_string(t.m_process_count)},
         {"avoided", std::to_string(d.m_avoided.size())},
         {"members_age_ms",
          milliseconds_of(boot_now() - d.m_members_received_at)},
         {"config_version", std::to_string(s.m_config->m_version)}});
}

// Sends what the home has to know of the session for this statement.
void write_setup(session_task_state& t, home_link& h, const work& w,
                 std::string& out)
{
    const session& s = *h.m_session;
    const auto expect_setup = [&]
    {
        h.m_expected_replies.push_back(home_reply_kind::setup);
    };
    // Names that are gone first, as they may hold the memory that others need.
    for (auto told = h.m_prepared.begin(); told != h.m_prepared.end();)
    {
        if (s.m_prepared.contains(told->first))
        {
            ++told;
            continue;
        }
        t.m_codec.m_write_deallocate(out, told->first);
        expect_setup();
        told = h.m_prepared.erase(told);
    }
    for (const auto& [name, value] : s.m_values)
    {
        const auto told = h.m_values.find(name);
        if (told != h.m_values.end() && told->second == value)
            continue;
        t.m_codec.m_write_set(out, name, value);
        expect_setup();
        h.m_values.insert_or_assign(name, value);
    }
    if (!w.m_prepared)
        return;
    const auto told = h.m_prepared.find(w.m_prepared_name);
    if (told != h.m_prepared.end() && told->second == *w.m_prepared)
        return;
    t.m_codec.m_write_prepare(out, w.m_prepared_name, w.m_prepared->m_writes,
                              w.m_prepared->m_shape);
    expect_setup();
    h.m_prepared.insert_or_assign(w.m_prepared_name, *w.m_prepared);
}

// True if the home refused the statement because it knows less than this
// process, so that no part of it has run.
bool is_home_behind(session_fault fault)
{
    return fault == session_fault::no_database ||
           fault == session_fault::unauthorized ||
           fault == session_fault::no_statement;
}

void run_here_instead(session_task_state& t, const work_ptr& w,
                      std::string_view home, session_fault fault,
                      std::string_view detail)
{
    const time_point now = boot_now();
    w->m_answer.clear();
    w->m_sent_at = {};
    if (now >= w->m_deadline || w->m_attempts >= max_statement_attempts)
        return fail_work(t, w, fault, detail);
    w->m_starts_transaction = w->m_session->m_transaction.has_value();
    w->m_send_deadline = std::max(
        w->m_send_deadline, now + (w->m_deadline - now) / std::int64_t{4});
    w->m_useful_until = std::max(w->m_useful_until, w->m_send_deadline);
    ++t.m_counts.m_retries;
    log_retried(*w, home, fault, detail);
    w->auto_unlink_hook::unlink();
    serve_here(t, w);
}

void complete_at_home(session_task_state& t, const work_ptr& w,
                      std::string_view home)
{
    const session_ptr s = w->m_session;
    w->auto_unlink_hook::unlink();
    s->m_work = nullptr;
    count_served(t, *s, *w);
    log_served(*s, *w, home);
    if (s->m_transaction)
    {
        s->m_transaction->m_idle_since = boot_now();
        if (w->m_kind == statement_kind::commit)
        {
            s->m_transaction.reset();
            t.m_charts.m_session.fire(s->m_state,
                                      session_event::transaction_finished);
        }
    }
    w->m_session = nullptr;
    answer_ready(t, *s, w->m_answer);
    resume_session(t, *s);
}

}

bool pass_on_statement(session_task_state& t, const work_ptr& w)
{
    session& s = *w->m_session;
    if (s.m_is_relayed || (s.m_transaction && s.m_transaction->m_link))
        return false;
    const bool continues_transaction =
        s.m_home_link &&
        s.m_home_link->m_state == home_link_state::in_transaction;
    if (!continues_transaction)
    {
        const time_point now = boot_now();
        const std::string home(judge_home(t, s, now).m_home);
        const std::string from =
            s.m_home_link ? s.m_home_link->m_home : std::string();
        if (from != home)
        {
            if (!from.empty())
                ++t.m_homes.m_moves;
            // Also before the statement runs here: a home learns of commits
            // elsewhere only when a session is resumed there.
            close_home_link(t, s, home.empty() ? "runs here" : "home changed");
        }
        if (home.empty())
            return false;
        // Kept current, so that statements can run here at once if the home
        // fails.
        const auto group = t.m_groups.find(s.m_route->m_service);
        if (group != t.m_groups.end())
            note_use(group->second, now);
        if (!s.m_home_link)
        {
            if (!open_home_link(t, s, home))
                return false;
            log_passed_on(t, *w, home, from);
        }
    }
    t.m_homes.m_statements.push_back(*w);
    if (s.m_home_link->m_state != home_link_state::opening)
        send_to_home(t, *s.m_home_link);
    return true;
}

namespace
{

void write_statement(session_task_state& t, home_link& h)
{
    session& s = *h.m_session;
    work& w = *s.m_work;
    std::string out;
    w.m_starts_transaction =
        s.m_transaction && h.m_state == home_link_state::at_rest;
    if (h.m_state == home_link_state::at_rest &&
        h.m_config_version != s.m_config->m_version)
        write_home_resume(t, h, out);
    write_setup(t, h, w, out);
    if (w.m_starts_transaction)
    {
        t.m_codec.m_write_begin(out, std::nullopt,
                                s.m_transaction->m_is_read_only);
        h.m_expected_replies.push_back(home_reply_kind::setup);
    }
    t.m_codec.m_write_query(out, w.m_id, std::nullopt, w.m_text);
    h.m_expected_replies.push_back(home_reply_kind::statement);
    w.m_sent_at = boot_now();
    ++w.m_attempts;
    if (s.m_transaction && w.m_writes)
        s.m_transaction->m_has_written = true;
    ++t.m_homes.m_passed_on_statements;
    apply_home_link_event(t, h, home_link_event::sent);
    h.m_stream->write(out);
    if (is_logged(event_id::statement_passed_on))
        log_event(event_id::statement_passed_on,
                  {{"request", w.m_id},
                   {"session", std::to_string(s.m_number)},
                   {"home", h.m_home},
                   {"transaction", s.m_transaction ? "open" : "none"},
                   {"attempt", std::to_string(w.m_attempts)},
                   {"age_ms", milliseconds_of(w.m_sent_at - w.m_received_at)}});
}

void write_end_of_transaction(session_task_state& t, home_link& h)
{
    std::string out;
    t.m_codec.m_write_rollback(out);
    h.m_expected_replies.push_back(home_reply_kind::rollback);
    apply_home_link_event(t, h, home_link_event::rolled_back);
    h.m_stream->write(out);
}

}

// Guarded on its own, as the session's callbacks and timers send too: a home
// that was told less than is recorded must not be sent the next statement.
void send_to_home(session_task_state& t, home_link& h)
{
    const home_link_ptr keep_alive(&h);
    guard_home_link(t, h,
                    [&]
                    {
                        write_statement(t, h);
                    });
}

void finish_home_statement(session_task_state& t, home_link& h,
                           transaction_status status)
{
    const home_link_ptr keep_alive(&h);
    const session_ptr s(h.m_session);
    const work_ptr w = s->m_work;
    const std::optional<session_fault> fault = std::exchange(h.m_fault, {});
    apply_home_link_event(t, h,
                          status == transaction_status::idle
                              ? home_link_event::answered
                              : home_link_event::kept_open);
    const bool is_commit = w->m_kind == statement_kind::commit;
    const bool is_first = !s->m_transaction || w->m_starts_transaction;
    if (fault && is_first && is_home_behind(*fault))
    {
        close_home_link(t, *s, to_string(*fault));
        avoid_home(t, h.m_home, to_string(*fault));
        return run_here_instead(t, w, h.m_home, *fault, h.m_fault_detail);
    }
    if (fault)
        return fail_work(t, w, *fault, h.m_fault_detail);
    // The home holds no transaction that the session believes open.
    if (s->m_transaction && !is_commit && status != transaction_status::open)
    {
        close_home_link(t, *s, "unreadable");
        return fail_work(t, w, session_fault::aborted, "transaction lost");
    }
    complete_at_home(t, w, h.m_home);
}

void handle_lost_home(session_task_state& t, session& s, std::string_view home,
                      bool in_transaction, bool not_run)
{
    const work_ptr w = s.m_work;
    if (!w)
    {
        // Told with its next statement.
        if (in_transaction && s.m_transaction)
            s.m_transaction->m_is_aborted = true;
        return;
    }
    if (not_run)
        w->m_sent_at = {};
    w->m_evidence = "home " + std::string(home);
    const lost_statement lost =
        judge_lost_statement(*w, s.m_transaction.has_value());
    if (lost.m_may_be_retried)
        run_here_instead(t, w, home, lost.m_fault, lost.m_detail);
    else
        fail_work(t, w, lost.m_fault, lost.m_detail);
}

void roll_back_at_home(session_task_state& t, session& s)
{
    if (!s.m_home_link ||
        s.m_home_link->m_state != home_link_state::in_transaction)
        return;
    const home_link_ptr h = s.m_home_link;
    guard_home_link(t, *h,
                    [&]
                    {
                        write_end_of_transaction(t, *h);
                    });
}

}
