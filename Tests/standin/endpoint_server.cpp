#include <standin/endpoint_server.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <cstring>
#include <utility>

#include <event2/buffer.h>
#include <nlohmann/json.hpp>

#include <wire/socket_address.hpp>

namespace bluebellspoke::standin
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds heartbeat_period{5};
constexpr milliseconds follow_retry{100};
constexpr char replication_mark = 'R';

}

/// One caller's connection.
struct endpoint_session
{
    explicit endpoint_session(endpoint_server& s)
        : m_server(s), m_timer(s.m_loop,
                               [this]
                               {
                                   m_elapsed();
                               })
    {
    }

    endpoint_server& m_server;
    bufferevent_ptr m_stream;
    bool m_started = false;
    bool m_busy = false; ///< In the middle of a query string.
    bool m_closing = false;
    bool m_has_slot = false;
    bool m_in_transaction = false;
    bool m_read_only = false;
    bool m_failed = false; ///< Its transaction met an error.
    std::vector<sql_change> m_changes;
    std::unique_ptr<sql_data> m_view; ///< Data as its transaction sees it.
    std::uint64_t m_begin_fence = 0;
    std::deque<std::string> m_statements;
    std::string m_out;
    timer m_timer;
    sigc::slot<void()> m_elapsed;
};

/// A replication connection; JSON lines after one mark byte.
struct replica_link
{
    explicit replica_link(endpoint_server& s)
        : m_server(s), m_take(s.m_loop,
                              [this]
                              {
                                  m_due();
                              }),
          m_retry(s.m_loop,
                  [this]
                  {
                      m_again();
                  })
    {
    }

    endpoint_server& m_server;
    bufferevent_ptr m_stream;
    std::uint64_t m_sent = 0; ///< Upstream's side: entries sent.
    std::uint64_t m_term = 0; ///< In which it follows.
    std::deque<std::pair<time_point, json>> m_arrived;
    timer m_take;
    timer m_retry;
    sigc::slot<void()> m_due;
    sigc::slot<void()> m_again;
};

namespace
{

void run_next(endpoint_session& c);

std::uint64_t last_term(const endpoint_server& s)
{
    return s.m_log.empty() ? 0 : s.m_log.back().m_term;
}

bool leads(const endpoint_server& s)
{
    return s.m_primary && last_term(s) == s.m_fence;
}

// ---- replication -------------------------------------------------------

json to_json(const log_entry& entry)
{
    json changes = json::array();
    for (const sql_change& c : entry.m_changes)
        changes.push_back(
            {static_cast<int>(c.m_kind), c.m_table, c.m_key, c.m_value});
    return {{"term", entry.m_term}, {"changes", std::move(changes)}};
}

log_entry to_entry(const json& line)
{
    log_entry entry;
    entry.m_term = line.at("term").get<std::uint64_t>();
    for (const json& c : line.at("changes"))
        entry.m_changes.push_back(
            {static_cast<sql_change::kind>(c.at(0).get<int>()),
             c.at(1).get<std::string>(), c.at(2).get<std::string>(),
             c.at(3).get<std::string>()});
    return entry;
}

void send_line(replica_link& link, const json& line)
{
    const std::string text = line.dump() + "\n";
    bufferevent_write(link.m_stream.get(), text.data(), text.size());
}

void ship(endpoint_server& s, replica_link& link)
{
    for (; link.m_sent < s.m_log.size(); ++link.m_sent)
        send_line(link, {{"entry", to_json(s.m_log[link.m_sent])}});
}

void ship_all(endpoint_server& s)
{
    for (const auto& link : s.m_downstreams)
        ship(s, *link);
}

/// The first offset of each term, for finding where two logs part.
json term_starts(const endpoint_server& s)
{
    json starts = json::array();
    std::uint64_t term = 0;
    for (std::size_t i = 0; i < s.m_log.size(); ++i)
        if (s.m_log[i].m_term != term)
        {
            term = s.m_log[i].m_term;
            starts.push_back({term, i});
        }
    return {{"starts", std::move(starts)}, {"size", s.m_log.size()}};
}

/// How many first entries the other log shares with this one. Two entries of
/// the same offset and term are the same entry.
std::uint64_t common_length(const endpoint_server& s, const json& other)
{
    const std::uint64_t size = other.at("size").get<std::uint64_t>();
    const json& starts = other.at("starts");
    std::uint64_t length = 0;
    for (std::size_t i = 0; i < starts.size(); ++i)
    {
        const std::uint64_t term = starts[i][0].get<std::uint64_t>();
        const std::uint64_t end = i + 1 < starts.size()
                                      ? starts[i + 1][1].get<std::uint64_t>()
                                      : size;
        for (std::uint64_t at = starts[i][1].get<std::uint64_t>(); at < end;
             ++at)
        {
            if (at >= s.m_log.size() || s.m_log[at].m_term != term)
                return length;
            length = at + 1;
        }
    }
    return length;
}

void finish_wait(position_wait wait);

void wake_waits(endpoint_server& s)
{
    for (auto next = s.m_waits.begin(); next != s.m_waits.end();)
    {
        const auto wait = next++;
        const bool reached =
            std::pair(last_term(s), std::uint64_t{s.m_log.size()}) >=
                std::pair(wait->m_term, wait->m_offset) ||
            s.m_fence > wait->m_term;
        if (!reached)
            continue;
        position_wait woken = std::move(*wait);
        s.m_waits.erase(wait);
        finish_wait(std::move(woken));
    }
}

void append_entry(endpoint_server& s, log_entry entry)
{
    s.m_log.push_back(std::move(entry));
    ship_all(s);
    wake_waits(s);
}

void truncate(endpoint_server& s, std::uint64_t length)
{
    if (length >= s.m_log.size())
        return;
    s.m_log.resize(length);
    s.m_data = {};
    for (const log_entry& entry : s.m_log)
        apply(s.m_data, entry);
}

void take_line(replica_link& link, const json& line)
{
    endpoint_server& s = link.m_server;
    // A primary of a term that was fenced off is followed no more.
    if (link.m_term < s.m_fence)
        return;
    if (line.contains("truncate"))
        truncate(s, line.at("truncate").get<std::uint64_t>());
    if (line.contains("entry"))
    {
        log_entry entry = to_entry(line.at("entry"));
        apply(s.m_data, entry);
        append_entry(s, std::move(entry));
    }
}

// The lag holds each line back until it is due, in order.
void take_due(replica_link& link)
{
    const time_point now = monotonic_clock::now();
    const milliseconds lag = link.m_server.m_options.m_lag;
    while (!link.m_arrived.empty() && link.m_arrived.front().first + lag <= now)
    {
        const auto [arrived_at, line] = std::move(link.m_arrived.front());
        link.m_arrived.pop_front();
        take_line(link, line);
        link.m_server.m_fresh_at = arrived_at;
    }
    if (!link.m_arrived.empty())
        link.m_take.start_once(
            std::chrono::duration_cast<std::chrono::microseconds>(
                link.m_arrived.front().first + lag - now));
}

void read_upstream(bufferevent* stream, void* user)
{
    auto& link = *static_cast<replica_link*>(user);
    evbuffer* in = bufferevent_get_input(stream);
    std::size_t length = 0;
    while (char* text = evbuffer_readln(in, &length, EVBUFFER_EOL_LF))
    {
        link.m_arrived.emplace_back(monotonic_clock::now(),
                                    json::parse(text, text + length));
        std::free(text);
    }
    take_due(link);
}

void connect_upstream(replica_link& link);

void on_upstream_event(bufferevent* stream, short what, void* user)
{
    auto& link = *static_cast<replica_link*>(user);
    if ((what & BEV_EVENT_CONNECTED) != 0)
    {
        const std::string text = std::string(1, replication_mark) +
                                 term_starts(link.m_server).dump() + "\n";
        bufferevent_write(stream, text.data(), text.size());
        return;
    }
    link.m_arrived.clear();
    link.m_retry.start_once(follow_retry);
}

void connect_upstream(replica_link& link)
{
    endpoint_server& s = link.m_server;
    link.m_stream.reset(bufferevent_socket_new(s.m_loop.m_base.get(), -1,
                                               BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(link.m_stream.get(), read_upstream, nullptr,
                      on_upstream_event, &link);
    bufferevent_enable(link.m_stream.get(), EV_READ | EV_WRITE);
    const socket_address to = to_socket_address(parse_address(s.m_following));
    bufferevent_socket_connect(link.m_stream.get(),
                               reinterpret_cast<const sockaddr*>(&to.m_storage),
                               static_cast<int>(to.m_length));
}

void follow(endpoint_server& s, std::uint64_t term, const std::string& upstream)
{
    s.m_following = upstream;
    s.m_upstream = std::make_unique<replica_link>(s);
    replica_link& link = *s.m_upstream;
    link.m_term = term;
    link.m_due = [&link]
    {
        take_due(link);
    };
    link.m_again = [&link]
    {
        connect_upstream(link);
    };
    connect_upstream(link);
}

void on_downstream_event(bufferevent*, short, void* user)
{
    auto* link = static_cast<replica_link*>(user);
    link->m_server.m_downstreams.remove_if(
        [link](const auto& candidate)
        {
            return candidate.get() == link;
        });
}

void read_downstream(bufferevent* stream, void* user)
{
    auto& link = *static_cast<replica_link*>(user);
    std::size_t length = 0;
    char* text = evbuffer_readln(bufferevent_get_input(stream), &length,
                                 EVBUFFER_EOL_LF);
    if (text == nullptr)
        return;
    link.m_sent =
        common_length(link.m_server, json::parse(text, text + length));
    std::free(text);
    send_line(link, {{"truncate", link.m_sent}});
    ship(link.m_server, link);
}

void begin_downstream(endpoint_session& c)
{
    endpoint_server& s = c.m_server;
    evbuffer_drain(bufferevent_get_input(c.m_stream.get()), 1);
    auto made = std::make_unique<replica_link>(s);
    replica_link& link = *made;
    link.m_stream = std::move(c.m_stream);
    bufferevent_setcb(link.m_stream.get(), read_downstream, nullptr,
                      on_downstream_event, &link);
    s.m_downstreams.push_back(std::move(made));
    s.m_sessions.remove_if(
        [&c](const auto& candidate)
        {
            return candidate.get() == &c;
        });
    read_downstream(link.m_stream.get(), &link);
}

// ---- statements --------------------------------------------------------

void send(endpoint_session& c)
{
    bufferevent_write(c.m_stream.get(), c.m_out.data(), c.m_out.size());
    c.m_out.clear();
}

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

sql_result state_row(const endpoint_server& s)
{
    const std::string term = number(last_term(s));
    const std::string offset = number(s.m_log.size());
    const auto age =
        std::chrono::ceil<milliseconds>(monotonic_clock::now() - s.m_fresh_at);
    sql_result result;
    result.m_columns = {"role",     "fence",         "received_term",
                        "received", "replayed_term", "replayed",
                        "age_ms"};
    result.m_rows.push_back(
        {s.m_primary ? "primary" : "replica", number(s.m_fence), term, offset,
         term, offset,
         leads(s) ? std::string("0")
                  : std::to_string(std::max<std::int64_t>(age.count(), 0))});
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
        c.m_server.m_log.push_back({term, std::move(changes)});
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
        s.m_log.push_back(std::move(entry));
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

void finish_wait(position_wait wait)
{
    endpoint_session& c = *wait.m_session;
    append_result(c, state_row(c.m_server));
    run_next(c);
}

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

void give_slots(endpoint_server& s)
{
    while (!s.m_slot_queue.empty() && s.m_running < s.m_options.m_slots)
    {
        endpoint_session& c = *s.m_slot_queue.front();
        s.m_slot_queue.pop_front();
        start_served(c);
    }
}

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

// ---- connections -------------------------------------------------------

void close_session(endpoint_session& c)
{
    endpoint_server& s = c.m_server;
    if (c.m_has_slot)
        --s.m_running;
    std::erase(s.m_slot_queue, &c);
    s.m_waits.remove_if(
        [&c](const position_wait& wait)
        {
            return wait.m_session == &c;
        });
    s.m_sessions.remove_if(
        [&c](const auto& candidate)
        {
            return candidate.get() == &c;
        });
    give_slots(s);
}

void start_session(endpoint_session& c)
{
    c.m_started = true;
    if (c.m_server.m_sessions.size() > c.m_server.m_options.m_connections)
    {
        ++c.m_server.m_refused;
        append_error(c.m_out, "FATAL", "53300", "too many connections");
        send(c);
        c.m_closing = true;
        return;
    }
    append_startup_answer(c.m_out);
    send(c);
}

// Returns false when more bytes are needed.
bool take_startup(endpoint_session& c, evbuffer* in)
{
    constexpr std::size_t header = 8;
    std::array<char, header> bytes{};
    if (evbuffer_copyout(in, bytes.data(), header) <
        static_cast<ev_ssize_t>(header))
        return false;
    const std::string_view view(bytes.data(), bytes.size());
    const std::uint32_t length = read_u32(view);
    const std::uint32_t code = read_u32(view.substr(4));
    if (evbuffer_get_length(in) < length)
        return false;
    evbuffer_drain(in, length);
    if (code == ssl_request || code == gss_request)
    {
        bufferevent_write(c.m_stream.get(), "N", 1);
        return true;
    }
    c.m_elapsed = [&c]
    {
        start_session(c);
    };
    c.m_timer.start_once(c.m_server.m_options.m_connect);
    c.m_started = true;
    return true;
}

// Returns false when more bytes are needed or the connection is gone.
bool take_message(endpoint_session& c, evbuffer* in)
{
    constexpr std::size_t header = 5;
    std::array<char, header> bytes{};
    if (c.m_busy || evbuffer_copyout(in, bytes.data(), header) <
                        static_cast<ev_ssize_t>(header))
        return false;
    const std::uint32_t length =
        read_u32(std::string_view(bytes.data() + 1, 4));
    if (evbuffer_get_length(in) < length + 1)
        return false;
    std::string body(length - 4, '\0');
    evbuffer_drain(in, header);
    evbuffer_remove(in, body.data(), body.size());
    if (bytes[0] == 'X')
    {
        close_session(c);
        return false;
    }
    if (bytes[0] != 'Q')
    {
        append_error(c.m_out, "FATAL", "08P01", "simple queries only");
        send(c);
        return true;
    }
    body.resize(std::strlen(body.c_str()));
    for (std::string& statement : split_statements(body))
        c.m_statements.push_back(std::move(statement));
    c.m_busy = true;
    run_next(c);
    return true;
}

void on_readable(bufferevent* stream, void* user)
{
    auto& c = *static_cast<endpoint_session*>(user);
    evbuffer* in = bufferevent_get_input(stream);
    if (!c.m_started)
    {
        char first = 0;
        evbuffer_copyout(in, &first, 1);
        if (first == replication_mark)
        {
            begin_downstream(c);
            return;
        }
        while (!c.m_started && take_startup(c, in))
        {
        }
        return;
    }
    while (take_message(c, in))
    {
    }
}

void on_written(bufferevent* stream, void* user)
{
    auto& c = *static_cast<endpoint_session*>(user);
    if (c.m_closing)
        close_session(c);
    else if (c.m_started && !c.m_busy)
        on_readable(stream, user);
}

void on_session_event(bufferevent*, short, void* user)
{
    close_session(*static_cast<endpoint_session*>(user));
}

void on_accept(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int,
               void* user)
{
    auto& s = *static_cast<endpoint_server*>(user);
    set_no_delay(descriptor);
    auto made = std::make_unique<endpoint_session>(s);
    endpoint_session& c = *made;
    c.m_stream.reset(bufferevent_socket_new(s.m_loop.m_base.get(), descriptor,
                                            BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(c.m_stream.get(), on_readable, on_written,
                      on_session_event, &c);
    bufferevent_enable(c.m_stream.get(), EV_READ | EV_WRITE);
    s.m_sessions.push_back(std::move(made));
}

// Tells the replicas that nothing is new, so that they know their age.
void beat(endpoint_server& s)
{
    if (leads(s))
        s.m_fresh_at = monotonic_clock::now();
    for (const auto& link : s.m_downstreams)
        if (leads(s))
            send_line(*link, json::object());
}

}

endpoint_server::endpoint_server(loop& l, endpoint_options options)
    : m_loop(l), m_options(std::move(options)),
      m_listener(nullptr, evconnlistener_free), m_heartbeat(l,
                                                            [this]
                                                            {
                                                                beat(*this);
                                                            })
{
    const socket_address bound = to_socket_address(m_options.m_listen);
    m_listener.reset(evconnlistener_new_bind(
        l.m_base.get(), on_accept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        reinterpret_cast<const sockaddr*>(&bound.m_storage),
        static_cast<int>(bound.m_length)));
    if (!m_listener)
        throw loop_error();
    m_local = local_address(evconnlistener_get_fd(m_listener.get()));
    if (m_options.m_follow)
        follow(*this, m_fence, to_string(*m_options.m_follow));
    else
    {
        m_primary = true;
        append_entry(*this, {m_fence, {}});
    }
    m_heartbeat.start_periodic(heartbeat_period);
}

endpoint_server::~endpoint_server() = default;

}
