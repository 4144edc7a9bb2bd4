#include <standin/endpoint_session.hpp>

#include <algorithm>
#include <cstdlib>

#include <wire/socket_address.hpp>

namespace bluebellspoke::standin
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds follow_retry{100};

void send_line(replica_link& link, const json& line)
{
    const std::string text = line.dump() + "\n";
    bufferevent_write(link.m_stream.get(), text.data(), text.size());
}

void ship(endpoint_server& s, replica_link& link)
{
    if (s.m_replication_cut)
        return;
    for (; link.m_sent < s.m_log.size(); ++link.m_sent)
        send_line(link, {{"entry", to_json(s.m_log[link.m_sent])}});
}

}

void ship_all(endpoint_server& s)
{
    for (const auto& link : s.m_downstreams)
        ship(s, *link);
}

namespace
{

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

}

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

void keep_entry(endpoint_server& s, log_entry entry)
{
    record_entry(s, entry);
    s.m_log.push_back(std::move(entry));
}

void append_entry(endpoint_server& s, log_entry entry)
{
    keep_entry(s, std::move(entry));
    ship_all(s);
    wake_waits(s);
}

namespace
{

void truncate(endpoint_server& s, std::uint64_t length)
{
    if (length >= s.m_log.size())
        return;
    record_truncation(s, length);
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
    if (link.m_server.m_replication_cut)
        return;
    link.m_server.m_upstream_heard_at = monotonic_clock::now();
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

}

void follow(endpoint_server& s, std::uint64_t term, const std::string& upstream)
{
    const bool again = s.m_upstream && s.m_upstream->m_term == term &&
                       s.m_following == upstream;
    if (!again)
        s.m_upstream_heard_at = monotonic_clock::now();
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

namespace
{

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
    if (link.m_server.m_replication_cut)
        return;
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

// Tells the replicas that nothing is new, so that they know their age.
void beat(endpoint_server& s)
{
    if (leads(s))
        s.m_fresh_at = monotonic_clock::now();
    for (const auto& link : s.m_downstreams)
        if (leads(s) && !s.m_replication_cut)
            send_line(*link, json::object());
}

void cut_replication(endpoint_server& s)
{
    s.m_replication_cut = true;
}

// Replicas begin anew, as connections that a partition broke would.
void heal_replication(endpoint_server& s)
{
    s.m_replication_cut = false;
    s.m_downstreams.clear();
    if (s.m_upstream)
        follow(s, s.m_upstream->m_term, std::string(s.m_following));
}

std::uint64_t last_term(const endpoint_server& s)
{
    return s.m_log.empty() ? 0 : s.m_log.back().m_term;
}

bool leads(const endpoint_server& s)
{
    return s.m_primary && last_term(s) == s.m_fence;
}

}
