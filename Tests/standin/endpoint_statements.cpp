#include <standin/endpoint_session.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>

namespace bluebellspoke::standin
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

}

void note_idle(endpoint_session& c)
{
    if (c.m_silence_bound > milliseconds::zero())
        c.m_silence.start_once(c.m_silence_bound);
}

void send(endpoint_session& c)
{
    bufferevent_write(c.m_stream.get(), c.m_out.data(), c.m_out.size());
    c.m_out.clear();
}

namespace
{

char status_of(const endpoint_session& c)
{
    if (!c.m_in_transaction)
        return 'I';
    return c.m_failed ? 'E' : 'T';
}

void append_result(endpoint_session& c, const sql_result& result)
{
    if (!result.m_columns.empty())
        append_rows(c.m_out, result.m_columns, result.m_rows);
    append_complete(c.m_out, result.m_tag);
}

std::string number(std::uint64_t value)
{
    return std::to_string(value);
}

std::optional<std::string> silence(const endpoint_server& s)
{
    if (s.m_primary)
        return std::nullopt;
    const auto silent = std::chrono::floor<milliseconds>(
        monotonic_clock::now() - s.m_upstream_heard_at);
    return std::to_string(silent.count());
}

sql_result state_row(const endpoint_server& s)
{
    const std::string term = number(last_term(s));
    const std::string offset = number(s.m_log.size());
    const auto age =
        std::chrono::ceil<milliseconds>(monotonic_clock::now() - s.m_fresh_at);
    sql_result result;
    result.m_columns = {"role",     "fence",         "received_term",
                        "received", "replayed_term", "replayed",
                        "age_ms",   "silent_ms"};
    result.m_rows.push_back(
        {s.m_primary ? "primary" : "replica", number(s.m_fence), term, offset,
         term, offset,
         leads(s) ? std::string("0")
                  : std::to_string(std::max<std::int64_t>(age.count(), 0)),
         silence(s)});
    result.m_tag = "SELECT 1";
    return result;
}

/// For tests: how many connections were refused beyond the limit.
sql_result refused_row(const endpoint_server& s)
{
    sql_result result;
    result.m_columns = {"refused"};
    result.m_rows.push_back({number(s.m_refused)});
    result.m_tag = "SELECT 1";
    return result;
}

void require_term(const endpoint_server& s, std::uint64_t term)
{
    if (!leads(s) || s.m_fence != term)
        throw sql_error("BB001", "not the primary of this term");
}

sql_result fence(endpoint_server& s, std::uint64_t term,
                 const std::string& candidate)
{
    const bool newer = term > s.m_fence;
    const bool granted =
        newer || (term == s.m_fence && candidate == s.m_candidate);
    if (newer)
    {
        s.m_fence = term;
        s.m_candidate = candidate;
        s.m_primary = false;
        s.m_upstream.reset();
        s.m_upstream_heard_at = monotonic_clock::now();
        record_place(s);
        wake_waits(s);
    }
    sql_result result = state_row(s);
    result.m_columns.emplace_back("granted");
    result.m_rows.front().emplace_back(granted ? "t" : "f");
    return result;
}

sql_result promote(endpoint_server& s, std::uint64_t term)
{
    if (s.m_fence != term)
        throw sql_error("BB001", "fenced at another term");
    if (!s.m_primary)
    {
        s.m_primary = true;
        s.m_upstream.reset();
        append_entry(s, {term, {}});
        record_place(s);
    }
    return state_row(s);
}

sql_result obey_follow(endpoint_server& s, std::uint64_t term,
                       const std::string& upstream)
{
    if (term < s.m_fence)
        throw sql_error("BB001", "fenced at a later term");
    s.m_primary = false;
    s.m_fence = term;
    follow(s, term, upstream);
    record_place(s);
    wake_waits(s);
    return state_row(s);
}

sql_data& data_of(endpoint_session& c)
{
    // A transaction sees its own changes; nobody else does before its commit.
    if (!c.m_in_transaction || c.m_read_only)
        return c.m_server.m_data;
    if (!c.m_view)
        c.m_view = std::make_unique<sql_data>(c.m_server.m_data);
    return *c.m_view;
}

json outcome_json(const sql_result& result)
{
    json rows = json::array();
    for (const sql_row& row : result.m_rows)
    {
        json cells = json::array();
        for (const auto& cell : row)
            cells.push_back(cell ? json(*cell) : json());
        rows.push_back(std::move(cells));
    }
    return {{"columns", result.m_columns},
            {"rows", std::move(rows)},
            {"affected", result.m_affected}};
}

sql_result outcome_row(bool first_outcome, const std::string& outcome)
{
    sql_result result;
    result.m_columns = {"first_outcome", "outcome"};
    result.m_rows.push_back({first_outcome ? "t" : "f", outcome});
    result.m_tag = "SELECT 1";
    return result;
}

sql_result write(endpoint_session& c, const std::vector<sql_token>& t)
{
    // select … from bluebellspoke.write ( term , 'workspace' , 'id' , 'sql' )
    endpoint_server& s = c.m_server;
    const std::size_t open = t.size() - 9;
    const std::uint64_t term = std::stoull(t[open + 1].m_text);
    require_term(s, term);
    const std::string id = t[open + 5].m_text;
    const std::string outcome_key = t[open + 3].m_text + "/" + id;
    const auto stored = s.m_data.m_outcomes.find(outcome_key);
    if (!id.empty() && stored != s.m_data.m_outcomes.end())
        return outcome_row(true, stored->second);
    std::vector<sql_change> changes;
    // A lone write needs no view of its own: it commits at once or not at all.
    sql_data& data = c.m_view ? *c.m_view : s.m_data;
    const sql_result result = run_statement(data, t[open + 7].m_text, changes);
    const std::string outcome = outcome_json(result).dump();
    if (!id.empty())
    {
        changes.push_back(
            {sql_change::kind::outcome, "", outcome_key, outcome});
        apply(data, changes.back());
    }
    if (!c.m_view)
        keep_entry(s, {term, std::move(changes)});
    else
        std::move(changes.begin(), changes.end(),
                  std::back_inserter(c.m_changes));
    return outcome_row(false, outcome);
}

sql_result simple(const char* tag)
{
    sql_result result;
    result.m_tag = tag;
    return result;
}

void end_transaction(endpoint_session& c)
{
    c.m_in_transaction = false;
    c.m_read_only = false;
    c.m_failed = false;
    c.m_changes.clear();
    c.m_view.reset();
}

sql_result commit(endpoint_session& c)
{
    endpoint_server& s = c.m_server;
    if (c.m_failed)
    {
        end_transaction(c);
        return simple("ROLLBACK");
    }
    if (!c.m_changes.empty())
    {
        if (!leads(s) || s.m_fence != c.m_begin_fence)
        {
            end_transaction(c);
            throw sql_error("BB001", "not the primary of this term");
        }
        log_entry entry{s.m_fence, c.m_changes};
        apply(s.m_data, entry);
        keep_entry(s, std::move(entry));
    }
    end_transaction(c);
    ship_all(s);
    wake_waits(s);
    return simple("COMMIT");
}

sql_result begin(endpoint_session& c, bool read_only)
{
    c.m_in_transaction = true;
    c.m_read_only = read_only;
    c.m_begin_fence = c.m_server.m_fence;
    return simple("BEGIN");
}

sql_result run_plain(endpoint_session& c, const std::string& text)
{
    std::vector<sql_change> changes;
    const bool writes = tokenize(text).front().m_text != "select";
    if (writes && (c.m_read_only || !leads(c.m_server)))
        throw sql_error("25006", "read-only transaction");
    if (writes && !c.m_in_transaction)
        throw sql_error("25P01", "a change needs a transaction");
    sql_result result = run_statement(data_of(c), text, changes);
    if (!changes.empty() && c.m_read_only)
        throw sql_error("25006", "read-only transaction");
    std::move(changes.begin(), changes.end(), std::back_inserter(c.m_changes));
    return result;
}

bool is_call(const std::vector<sql_token>& t, std::string_view function)
{
    return std::any_of(t.begin(), t.end(),
                       [&](const sql_token& token)
                       {
                           return !token.m_literal && token.m_text == function;
                       });
}

/// The n-th argument of a call, from the token after its bracket.
const std::string& argument(const std::vector<sql_token>& t, std::size_t n)
{
    std::size_t at = 0;
    while (t.at(at).m_text != "(" || t[at].m_literal)
        ++at;
    return t.at(at + 1 + 2 * n).m_text;
}

std::uint64_t number_argument(const std::vector<sql_token>& t, std::size_t n)
{
    return std::stoull(argument(t, n));
}

sql_result call(endpoint_session& c, const std::vector<sql_token>& t,
                const std::string& text)
{
    endpoint_server& s = c.m_server;
    if (is_call(t, "bluebellspoke.state"))
        return state_row(s);
    if (is_call(t, "standin.refused"))
        return refused_row(s);
    if (is_call(t, "bluebellspoke.write"))
        return write(c, t);
    if (is_call(t, "bluebellspoke.check_term"))
    {
        require_term(s, number_argument(t, 0));
        return run_statement(s.m_data, "select 1", c.m_changes);
    }
    if (is_call(t, "bluebellspoke.fence"))
        return fence(s, number_argument(t, 0), argument(t, 1));
    if (is_call(t, "bluebellspoke.promote"))
        return promote(s, number_argument(t, 0));
    if (is_call(t, "bluebellspoke.follow"))
        return obey_follow(s, number_argument(t, 0), argument(t, 1));
    return run_plain(c, text);
}

sql_result run_one(endpoint_session& c, const std::vector<sql_token>& t,
                   const std::string& text)
{
    const std::string& verb = t.front().m_text;
    if (verb == "commit")
        return commit(c);
    if (verb == "rollback")
    {
        end_transaction(c);
        return simple("ROLLBACK");
    }
    if (c.m_failed)
        throw sql_error("25P02", "the transaction is aborted");
    if (verb == "begin")
        return begin(c, t.size() > 1);
    return call(c, t, text);
}

void finish_query(endpoint_session& c)
{
    c.m_statements.clear();
    c.m_busy = false;
    append_ready(c.m_out, status_of(c));
    send(c);
    note_idle(c);
}

void run_now(endpoint_session& c, const std::vector<sql_token>& t,
             const std::string& text)
{
    try
    {
        append_result(c, run_one(c, t, text));
    }
    catch (const sql_error& e)
    {
        append_error(c.m_out, "ERROR", e.m_sqlstate, e.m_message);
        c.m_failed = c.m_in_transaction;
        finish_query(c);
        return;
    }
    run_next(c);
}

}

void finish_wait(position_wait wait)
{
    endpoint_session& c = *wait.m_session;
    append_result(c, state_row(c.m_server));
    run_next(c);
}

namespace
{

void start_wait(endpoint_session& c, const std::vector<sql_token>& t)
{
    endpoint_server& s = c.m_server;
    s.m_waits.push_back(
        {&c, number_argument(t, 0), number_argument(t, 1), nullptr});
    const auto wait = std::prev(s.m_waits.end());
    wait->m_limit = std::make_unique<timer>(s.m_loop,
                                            [&s, wait]
                                            {
                                                position_wait ended =
                                                    std::move(*wait);
                                                s.m_waits.erase(wait);
                                                finish_wait(std::move(ended));
                                            });
    wait->m_limit->start_once(milliseconds(number_argument(t, 2)));
    wake_waits(s);
}

void start_served(endpoint_session& c);

}

void give_slots(endpoint_server& s)
{
    while (!s.m_slot_queue.empty() && s.m_running < s.m_options.m_slots)
    {
        endpoint_session& c = *s.m_slot_queue.front();
        s.m_slot_queue.pop_front();
        start_served(c);
    }
}

namespace
{

void run_served(endpoint_session& c)
{
    c.m_has_slot = false;
    --c.m_server.m_running;
    const std::string text = std::move(c.m_statements.front());
    c.m_statements.pop_front();
    endpoint_server& s = c.m_server;
    run_now(c, tokenize(text), text);
    give_slots(s);
}

void start_served(endpoint_session& c)
{
    c.m_has_slot = true;
    ++c.m_server.m_running;
    c.m_elapsed = [&c]
    {
        run_served(c);
    };
    if (c.m_server.m_options.m_service.count() > 0)
        c.m_timer.start_once(c.m_server.m_options.m_service);
    else
        run_served(c);
}

bool needs_slot(const std::vector<sql_token>& t)
{
    const std::string& verb = t.front().m_text;
    if (verb == "begin" || verb == "commit" || verb == "rollback")
        return false;
    if (is_call(t, "bluebellspoke.write"))
        return true;
    return std::none_of(t.begin(), t.end(),
                        [](const sql_token& token)
                        {
                            return !token.m_literal &&
                                   token.m_text.starts_with("bluebellspoke.");
                        });
}

}

void run_next(endpoint_session& c)
{
    if (c.m_statements.empty())
    {
        finish_query(c);
        return;
    }
    std::vector<sql_token> t;
    try
    {
        t = tokenize(c.m_statements.front());
    }
    catch (const sql_error& e)
    {
        append_error(c.m_out, "ERROR", e.m_sqlstate, e.m_message);
        finish_query(c);
        return;
    }
    if (needs_slot(t))
    {
        c.m_server.m_slot_queue.push_back(&c);
        give_slots(c.m_server);
        return;
    }
    const std::string text = std::move(c.m_statements.front());
    c.m_statements.pop_front();
    if (is_call(t, "bluebellspoke.await"))
        start_wait(c, t);
    else
        run_now(c, t, text);
}

}
