#include <standin/endpoint_server.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <cstring>

#include <standin/endpoint_session.hpp>
#include <wire/socket_address.hpp>

namespace bluebellspoke::standin
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds heartbeat_period{5};

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

// Of the start-up options only this one counts here.
milliseconds silence_bound_of(std::string_view startup)
{
    constexpr std::string_view name = "idle_session_timeout=";
    const std::size_t at = startup.find(name);
    if (at == std::string_view::npos)
        return milliseconds(0);
    return milliseconds(
        std::strtol(startup.substr(at + name.size()).data(), nullptr, 10));
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
    note_idle(c);
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
    std::string startup(length, '\0');
    evbuffer_remove(in, startup.data(), length);
    c.m_silence_bound = silence_bound_of(startup);
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
    c.m_silence.cancel();
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

// The first start: as the flags say.
void begin_anew(endpoint_server& s)
{
    if (s.m_options.m_follow)
        follow(s, s.m_fence, to_string(*s.m_options.m_follow));
    else
    {
        s.m_primary = true;
        append_entry(s, {s.m_fence, {}});
    }
    record_place(s);
}

}

void end_silent(endpoint_session& c)
{
    close_session(c);
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
    if (m_options.m_folder.empty() || !open_journal(*this, m_options.m_folder))
        begin_anew(*this);
    else if (!m_following.empty())
        follow(*this, m_fence, m_following);
    m_heartbeat.start_periodic(heartbeat_period);
}

endpoint_server::~endpoint_server() = default;

}
