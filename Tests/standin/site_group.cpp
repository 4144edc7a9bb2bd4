#include <standin/site_group.hpp>

#include <algorithm>
#include <span>
#include <sstream>
#include <utility>

#include <event2/listener.h>

#include <wire/socket_address.hpp>

namespace bluebellspoke::standin
{

namespace
{

std::string position_of(const line_endpoint& e)
{
    const std::uint64_t first_term = std::min<std::uint64_t>(e.m_term, 1);
    const std::uint64_t term =
        e.m_log.empty() ? first_term : e.m_log.back().m_term;
    return std::to_string(term) + "." + std::to_string(e.m_log.size());
}

void say(line_session& s, const std::string& line)
{
    s.m_stream->write(line + "\r\n");
}

void say_ready(line_session& s, const std::string& position)
{
    say(s, std::string("READY ") + s.m_state + " " + position);
}

void say_ready(line_session& s)
{
    say_ready(s, position_of(*s.m_endpoint));
}

void fail(line_session& s, const std::string& code)
{
    say(s, "ERROR " + code + " standin");
    if (s.m_state == 'T')
        s.m_state = 'E';
    say_ready(s);
}

void complete(line_session& s, const std::string& digest)
{
    say(s, "COMPLETE " + digest);
    say_ready(s);
}

line_endpoint* find_primary(site_group& g)
{
    const auto lead = std::ranges::find_if(g.m_endpoints,
                                           [](const auto& e)
                                           {
                                               return e->m_up && e->m_primary;
                                           });
    return lead == g.m_endpoints.end() ? nullptr : lead->get();
}

bool receives(const line_endpoint& e, const line_endpoint& from)
{
    const bool follows = e.m_term == from.m_term || e.m_term == 0;
    return e.m_up && !e.m_deaf && !e.m_primary && e.m_held == 0 && follows;
}

void copy_log(line_endpoint& e, const line_endpoint& from)
{
    e.m_term = from.m_term;
    e.m_log = from.m_log;
    e.m_acknowledged = e.m_log.size();
}

void read_lines(line_session& s);

void acknowledge(line_session& s)
{
    const waiting_commit c = *std::exchange(s.m_waiting, std::nullopt);
    const std::uint64_t term = s.m_endpoint->m_log[c.m_end - 1].m_term;
    say(s, "COMPLETE " + c.m_digest);
    say_ready(s, std::to_string(term) + "." + std::to_string(c.m_end));
}

// Answers the waiting commits that a replica has received, in the log's order.
void acknowledge_received(line_endpoint& e)
{
    if (e.m_dark)
        return;
    std::vector<line_session*> received;
    for (const auto& s : e.m_sessions)
        if (s->m_waiting && !s->m_over &&
            s->m_waiting->m_end <= e.m_acknowledged)
            received.push_back(s.get());
    std::ranges::sort(received, {},
                      [](const line_session* s)
                      {
                          return s->m_waiting->m_end;
                      });
    for (line_session* s : received)
        acknowledge(*s);
    for (line_session* s : received)
        read_lines(*s);
}

// Hands the log of a running primary to the replicas that receive. A commit
// needs one of them.
void replicate(site_group& g)
{
    line_endpoint* const lead = find_primary(g);
    if (lead == nullptr)
        return;
    for (const auto& e : g.m_endpoints)
        if (receives(*e, *lead))
        {
            copy_log(*e, *lead);
            lead->m_acknowledged = lead->m_log.size();
        }
    acknowledge_received(*lead);
}

// Returns true if a replica has received the commit.
bool commit(line_endpoint& e, std::span<const log_entry> writes)
{
    for (log_entry entry : writes)
    {
        entry.m_term = e.m_term;
        e.m_log.push_back(entry);
    }
    replicate(*e.m_group);
    return e.m_acknowledged == e.m_log.size();
}

// Its waiting commits get no answer any more.
void step_down(line_endpoint& e)
{
    e.m_primary = false;
    for (const auto& s : e.m_sessions)
        if (s->m_waiting && !s->m_over)
        {
            s->m_over = true;
            s->m_stream->finish();
        }
}

std::string read_item(const line_session& s, const std::string& item)
{
    for (auto w = s.m_writes.rbegin(); w != s.m_writes.rend(); ++w)
        if (w->m_item == item)
            return w->m_data;
    const line_endpoint& e = *s.m_endpoint;
    const auto log = std::span(e.m_log).first(e.m_acknowledged);
    for (auto w = log.rbegin(); w != log.rend(); ++w)
        if (w->m_item == item)
            return w->m_data;
    return "-";
}

std::string digest_of(const line_session& s, const std::string& id)
{
    return s.m_endpoint->m_id + "." + id;
}

void run_read(line_session& s, const std::string& id, const std::string& item)
{
    say(s, "ROW " + read_item(s, item));
    complete(s, digest_of(s, id));
}

// Commits the session's writes. Without a replica that receives, the answer
// waits for one.
void commit_session(line_session& s, const std::string& id)
{
    const bool is_received = commit(*s.m_endpoint, s.m_writes);
    s.m_writes.clear();
    s.m_state = 'I';
    if (is_received)
        return complete(s, digest_of(s, id));
    s.m_waiting = {s.m_endpoint->m_log.size(), digest_of(s, id)};
}

void run_write(line_session& s, const std::string& id, const std::string& item,
               const std::string& data)
{
    if (!s.m_endpoint->m_primary)
        return fail(s, "READONLY");
    s.m_writes.push_back({0, item, data});
    if (s.m_state == 'I')
        return commit_session(s, id);
    complete(s, digest_of(s, id));
}

void run_commit(line_session& s, const std::string& id)
{
    if (!s.m_writes.empty() && !s.m_endpoint->m_primary)
    {
        s.m_writes.clear();
        s.m_state = 'I';
        return fail(s, "READONLY");
    }
    if (!s.m_writes.empty())
        return commit_session(s, id);
    s.m_state = 'I';
    complete(s, digest_of(s, id));
}

std::size_t open_sessions(const line_endpoint& e)
{
    return static_cast<std::size_t>(std::ranges::count(e.m_sessions, false,
                                                       [](const auto& s)
                                                       {
                                                           return s->m_over;
                                                       }));
}

void say_status(line_session& s)
{
    const line_endpoint& e = *s.m_endpoint;
    say(s, std::string("ROW ") + (e.m_primary ? "primary " : "replica ") +
               std::to_string(e.m_term) + " " + position_of(e) + " " +
               std::to_string(e.m_held) + " 0 0 " +
               std::to_string(open_sessions(e)));
    complete(s, "-");
}

void run_execute(line_session& s, const std::string& id, std::istream& in)
{
    std::string name;
    std::string item;
    std::string data;
    in >> name >> item >> data;
    const auto prepared = s.m_prepared.find(name);
    if (prepared == s.m_prepared.end())
        return fail(s, "NOSTMT");
    if (prepared->second == "READ")
        return run_read(s, id, item);
    run_write(s, id, item, data);
}

bool lacks(const line_endpoint& e, const std::string& after)
{
    const std::size_t dot = after.find('.');
    const std::uint64_t term = std::stoull(after.substr(0, dot));
    const std::uint64_t offset = std::stoull(after.substr(dot + 1));
    return e.m_log.size() < offset || e.m_term < term;
}

void run_query(line_session& s, std::istream& in)
{
    std::string id;
    std::string verb;
    std::string word;
    in >> id >> verb;
    line_endpoint& e = *s.m_endpoint;
    if (verb == "AFTER")
    {
        in >> word >> verb;
        if (lacks(e, word))
            return fail(s, "LAGGING");
    }
    std::string data;
    if (s.m_state == 'E' && verb != "ROLLBACK")
        return fail(s, "MALFORMED");
    if (verb == "STATUS")
        return say_status(s);
    if (e.m_mute)
        return;
    if (e.m_full && s.m_state == 'T' && verb != "ROLLBACK")
    {
        say(s, "ERROR BUSY standin");
        return say_ready(s);
    }
    if (verb == "PAUSE")
    {
        std::uint64_t term = 0;
        in >> term;
        if (term > e.m_term && !e.m_primary)
            e.m_held = term;
        return say_status(s);
    }
    if (verb == "RESUME")
    {
        e.m_held = 0;
        replicate(*e.m_group);
        return say_status(s);
    }
    if (verb == "STEPDOWN")
    {
        in >> word;
        if (std::stoull(word) > e.m_term)
            step_down(e);
        return say_status(s);
    }
    if (verb == "READ")
    {
        in >> word;
        return run_read(s, id, word);
    }
    if (verb == "WRITE")
    {
        in >> word >> data;
        return run_write(s, id, word, data);
    }
    if (verb == "EXECUTE")
        return run_execute(s, id, in);
    if (verb == "COMMIT")
        return run_commit(s, id);
    if (verb == "BEGIN")
    {
        in >> word;
        if (word != "READ" && !e.m_primary)
            return fail(s, "READONLY");
        s.m_state = 'T';
    }
    else if (verb == "ROLLBACK")
    {
        s.m_writes.clear();
        s.m_state = 'I';
    }
    else if (verb == "SET")
    {
        in >> word >> data;
        s.m_values[word] = data;
    }
    else if (verb == "PREPARE")
    {
        in >> word >> data;
        s.m_prepared[word] = data;
    }
    else if (verb == "DISCARD")
    {
        s.m_values.clear();
        s.m_prepared.clear();
    }
    else
        return fail(s, "MALFORMED");
    complete(s, "-");
}

void start(line_session& s, std::istream& in)
{
    std::string service;
    std::string who;
    std::string id;
    in >> service >> who >> id;
    const line_endpoint& e = *s.m_endpoint;
    if (service != e.m_group->m_service || (!id.empty() && id != e.m_id))
    {
        say(s, "ERROR MISROUTED " + e.m_id);
        s.m_stream->finish();
        return;
    }
    if (e.m_limit > 0 && open_sessions(e) > e.m_limit)
    {
        say(s, "ERROR TOOMANY " + e.m_id);
        s.m_over = true;
        s.m_stream->finish();
        return;
    }
    s.m_started = true;
    say_ready(s);
}

void read_lines(line_session& s)
{
    while (!s.m_over && !s.m_waiting && !s.m_endpoint->m_dark)
    {
        const auto line = s.m_stream->next_line();
        if (!line)
            return;
        std::istringstream in{std::string(*line)};
        std::string word;
        in >> word;
        if (word == "STARTUP")
            start(s, in);
        else if (word == "QUERY" && s.m_started)
            run_query(s, in);
    }
}

void forget_ended(line_endpoint& e)
{
    std::erase_if(e.m_sessions,
                  [](const auto& s)
                  {
                      return s->m_over;
                  });
}

void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int,
               void* of)
{
    auto& e = *static_cast<line_endpoint*>(of);
    forget_ended(e);
    auto s = std::make_unique<line_session>();
    line_session& there = *s;
    s->m_endpoint = &e;
    s->m_stream = std::make_unique<line_stream>(
        *e.m_group->m_loop, socket,
        line_stream_handlers{[&there]
                             {
                                 read_lines(there);
                             },
                             [&there](stream_end_reason)
                             {
                                 there.m_over = true;
                             }});
    e.m_sessions.push_back(std::move(s));
}

void listen(line_endpoint& e)
{
    constexpr int backlog = 64;
    const socket_address at = to_socket_address(e.m_address);
    e.m_listener = evconnlistener_new_bind(
        e.m_group->m_loop->m_base.get(), &on_accept, &e,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog,
        reinterpret_cast<const sockaddr*>(&at.m_storage),
        static_cast<int>(at.m_length));
    if (e.m_listener == nullptr)
        throw loop_error();
}

void promote(site_group& g, line_endpoint& next)
{
    if (!next.m_up || next.m_primary)
        return;
    std::uint64_t term = 0;
    for (const auto& e : g.m_endpoints)
        term = std::max(term, e->m_term);
    for (const auto& e : g.m_endpoints)
    {
        if (!e->m_up)
            continue;
        step_down(*e);
        e->m_held = 0;
        copy_log(*e, next);
        e->m_term = term + 1;
    }
    next.m_primary = true;
}

void promote_later(site_group& g, line_endpoint& next)
{
    std::erase_if(g.m_promotions,
                  [](const pending_promotion& p)
                  {
                      return p.m_is_done;
                  });
    pending_promotion& p = g.m_promotions.emplace_back();
    p.m_due = std::make_unique<timer>(*g.m_loop,
                                      [&g, &next, &p]
                                      {
                                          p.m_is_done = true;
                                          promote(g, next);
                                      });
    p.m_due->start_once(g.m_promotion_delay);
}

}

line_endpoint& add_endpoint(site_group& g, const std::string& id,
                            const address& at)
{
    auto added = std::make_unique<line_endpoint>();
    line_endpoint& e = *added;
    e.m_group = &g;
    e.m_id = id;
    e.m_address = at;
    e.m_primary = g.m_endpoints.empty();
    e.m_term = e.m_primary ? 1 : 0;
    listen(e);
    g.m_endpoints.push_back(std::move(added));
    replicate(g);
    return e;
}

void set_up(line_endpoint& e, bool up)
{
    if (e.m_up == up)
        return;
    e.m_up = up;
    if (up)
    {
        const bool replaced =
            std::ranges::any_of(e.m_group->m_endpoints,
                                [&](const auto& other)
                                {
                                    return other->m_term > e.m_term;
                                });
        e.m_primary = e.m_primary && !replaced;
        e.m_held = 0;
        listen(e);
        return replicate(*e.m_group);
    }
    evconnlistener_free(e.m_listener);
    e.m_listener = nullptr;
    e.m_sessions.clear();
}

void set_dark(line_endpoint& e, bool dark)
{
    e.m_dark = dark;
    acknowledge_received(e);
    for (const auto& s : e.m_sessions)
        read_lines(*s);
}

void set_deaf(line_endpoint& e, bool deaf)
{
    e.m_deaf = deaf;
    replicate(*e.m_group);
}

bool write_directly(site_group& g, const std::string& item,
                    const std::string& data)
{
    line_endpoint* const lead = find_primary(g);
    const log_entry entry{0, item, data};
    return lead != nullptr && commit(*lead, {&entry, 1});
}

line_endpoint* find_endpoint(site_group& g, std::string_view id)
{
    const auto found = std::ranges::find_if(g.m_endpoints,
                                            [&](const auto& e)
                                            {
                                                return e->m_id == id;
                                            });
    return found == g.m_endpoints.end() ? nullptr : found->get();
}

bool order_promotion(site_group& g, std::string_view id)
{
    line_endpoint* const next = find_endpoint(g, id);
    if (next == nullptr || !next->m_up)
        return false;
    if (g.m_promotion_delay == g.m_promotion_delay.zero())
        promote(g, *next);
    else
        promote_later(g, *next);
    return true;
}

bool is_promotion_pending(const site_group& g)
{
    return std::ranges::any_of(g.m_promotions,
                               [](const pending_promotion& p)
                               {
                                   return !p.m_is_done;
                               });
}

}
