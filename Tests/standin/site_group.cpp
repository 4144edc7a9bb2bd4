#include <standin/site_group.hpp>

#include <algorithm>
#include <sstream>

#include <event2/listener.h>

#include <wire/socket_address.hpp>

namespace bluebellspoke::standin
{

namespace
{

std::string position_of(const line_endpoint& e)
{
    const std::uint64_t term = e.m_log.empty() ? 1 : e.m_log.back().m_term;
    return std::to_string(term) + "." + std::to_string(e.m_log.size());
}

void say(line_session& s, const std::string& line)
{
    s.m_stream->write(line + "\r\n");
}

void say_ready(line_session& s)
{
    say(s,
        std::string("READY ") + s.m_state + " " + position_of(*s.m_endpoint));
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

bool receives(const line_endpoint& e, const line_endpoint& from)
{
    return e.m_up && !e.m_deaf && !e.m_primary && e.m_held == 0 &&
           e.m_term == from.m_term;
}

// A commit needs one replica.
bool commit(line_endpoint& e, const std::vector<log_entry>& writes)
{
    std::vector<line_endpoint*> receivers;
    for (const auto& other : e.m_group->m_endpoints)
        if (other.get() != &e && receives(*other, e))
            receivers.push_back(other.get());
    if (receivers.empty())
        return false;
    for (log_entry entry : writes)
    {
        entry.m_term = e.m_term;
        e.m_log.push_back(entry);
    }
    for (line_endpoint* r : receivers)
        r->m_log = e.m_log;
    return true;
}

std::string read_item(const line_session& s, const std::string& item)
{
    for (auto w = s.m_writes.rbegin(); w != s.m_writes.rend(); ++w)
        if (w->m_item == item)
            return w->m_data;
    const auto& log = s.m_endpoint->m_log;
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

// An endpoint that can't commit says nothing, as the real one waits.
void run_write(line_session& s, const std::string& id, const std::string& item,
               const std::string& data)
{
    if (!s.m_endpoint->m_primary)
        return fail(s, "READONLY");
    s.m_writes.push_back({0, item, data});
    if (s.m_state == 'I')
    {
        const bool done = commit(*s.m_endpoint, s.m_writes);
        s.m_writes.clear();
        if (!done)
            return;
    }
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
    const bool done = s.m_writes.empty() || commit(*s.m_endpoint, s.m_writes);
    s.m_writes.clear();
    s.m_state = 'I';
    if (done)
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
        return say_status(s);
    }
    if (verb == "STEPDOWN")
    {
        in >> word;
        if (std::stoull(word) > e.m_term)
            e.m_primary = false;
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
    while (!s.m_over && !s.m_endpoint->m_dark)
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

}

void add_endpoint(site_group& g, const std::string& id, const address& at)
{
    auto e = std::make_unique<line_endpoint>();
    e->m_group = &g;
    e->m_id = id;
    e->m_address = at;
    e->m_primary = g.m_endpoints.empty();
    listen(*e);
    g.m_endpoints.push_back(std::move(e));
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
        return listen(e);
    }
    evconnlistener_free(e.m_listener);
    e.m_listener = nullptr;
    e.m_sessions.clear();
}

void set_dark(line_endpoint& e, bool dark)
{
    e.m_dark = dark;
    for (const auto& s : e.m_sessions)
        read_lines(*s);
}

bool write_directly(site_group& g, const std::string& item,
                    const std::string& data)
{
    const auto lead = std::ranges::find_if(g.m_endpoints,
                                           [](const auto& e)
                                           {
                                               return e->m_up && e->m_primary;
                                           });
    return lead != g.m_endpoints.end() && commit(**lead, {{0, item, data}});
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

bool promote(site_group& g, std::string_view id)
{
    line_endpoint* const next = find_endpoint(g, id);
    if (next == nullptr || !next->m_up)
        return false;
    if (next->m_primary)
        return true;
    std::uint64_t term = 0;
    for (const auto& e : g.m_endpoints)
        term = std::max(term, e->m_term);
    for (const auto& e : g.m_endpoints)
    {
        if (!e->m_up)
            continue;
        e->m_primary = e.get() == next;
        e->m_term = term + 1;
        e->m_held = 0;
        e->m_log = next->m_log;
    }
    return true;
}

}
