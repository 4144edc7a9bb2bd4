#include <wire/http1_server.hpp>

#include <chrono>
#include <map>

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <task/boot_clock.hpp>
#include <wire/http2_transport.hpp>
#include <wire/socket_address.hpp>

namespace bluebellspoke
{

namespace
{

constexpr std::chrono::seconds age_check_interval{1};
// How long accepting rests when the process has no descriptor left.
constexpr std::chrono::milliseconds accept_pause{100};

struct listener_deleter
{
    void operator()(evconnlistener* l) const noexcept
    {
        evconnlistener_free(l);
    }
};

struct connection
{
    http1_server::state* m_server = nullptr;
    std::uint64_t m_number = 0;
    time_point m_opened_at{};
    bufferevent_ptr m_stream;
    bool m_asked = false;
    bool m_answered = false;
    bool m_is_half_closed = false; ///< The client sends nothing more.
};

}

struct http1_server::state
{
    state(loop& l, http1_server_limits limits,
          sigc::slot<void(const arrived_http1_request&)> on_request);

    loop& m_loop;
    http1_server_limits m_limits;
    sigc::slot<void(const arrived_http1_request&)> m_on_request;
    std::unique_ptr<evconnlistener, listener_deleter> m_listener;
    timer m_age_check;
    timer m_accept_pause;
    std::uint64_t m_last_number = 0;
    std::uint64_t m_closed = 0;
    std::map<std::uint64_t, connection> m_connections; ///< The oldest first.
};

namespace
{

using server_state = http1_server::state;

void close_oldest(server_state& s)
{
    ++s.m_closed;
    s.m_connections.erase(s.m_connections.begin());
}

void close_aged(server_state& s)
{
    const time_point now = boot_now();
    while (!s.m_connections.empty() &&
           now - s.m_connections.begin()->second.m_opened_at >=
               s.m_limits.m_lifetime)
        close_oldest(s);
}

// Passes on the request, once its header is complete.
void take_request(connection& c, std::string_view header)
{
    const std::string_view line = header.substr(0, header.find("\r\n"));
    const std::size_t begin = line.find(' ');
    const std::size_t end = line.rfind(' ');
    c.m_asked = true;
    server_state& s = *c.m_server;
    if (begin == std::string_view::npos || end <= begin)
    {
        s.m_connections.erase(c.m_number);
        return;
    }
    s.m_on_request(
        {c.m_number, std::string(line.substr(begin + 1, end - begin - 1))});
}

void on_readable(bufferevent* stream, void* user)
{
    auto& c = *static_cast<connection*>(user);
    evbuffer* input = bufferevent_get_input(stream);
    const std::size_t length = evbuffer_get_length(input);
    if (c.m_asked)
    {
        // A body, or the next request: there is one answer a connection.
        evbuffer_drain(input, length);
        return;
    }
    const auto* bytes = reinterpret_cast<const char*>(
        evbuffer_pullup(input, static_cast<ev_ssize_t>(length)));
    const std::string_view received(bytes, length);
    const std::size_t end = received.find("\r\n\r\n");
    if (end != std::string_view::npos)
    {
        const std::string header(received.substr(0, end));
        evbuffer_drain(input, length);
        return take_request(c, header);
    }
    if (length < c.m_server->m_limits.m_header_bytes)
        return;
    ++c.m_server->m_closed;
    c.m_server->m_connections.erase(c.m_number);
}

// Closing a socket with unread input resets it, and the answer may be lost. So
// only the sending side ends; the connection's age ends the rest.
void on_sent(bufferevent* stream, void* user)
{
    const auto& c = *static_cast<connection*>(user);
    if (!c.m_answered)
        return;
    shutdown(bufferevent_getfd(stream), SHUT_WR);
    if (c.m_is_half_closed)
        c.m_server->m_connections.erase(c.m_number);
}

bool has_answer_to_send(const connection& c)
{
    const evbuffer* output = bufferevent_get_output(c.m_stream.get());
    return c.m_asked && (!c.m_answered || evbuffer_get_length(output) > 0);
}

// Some clients end their sending side after the request.
void on_end(bufferevent*, short what, void* user)
{
    auto& c = *static_cast<connection*>(user);
    c.m_is_half_closed = (what & BEV_EVENT_EOF) != 0;
    if (!c.m_is_half_closed || !has_answer_to_send(c))
        c.m_server->m_connections.erase(c.m_number);
}

void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int,
               void* user)
{
    auto& s = *static_cast<server_state*>(user);
    // The event library closes the socket at the end of the loop's turn; until
    // then no other is accepted.
    if (s.m_connections.size() >= s.m_limits.m_connections)
    {
        close_oldest(s);
        evconnlistener_disable(s.m_listener.get());
        s.m_accept_pause.start_once(std::chrono::microseconds::zero());
    }
    bufferevent_ptr stream(bufferevent_socket_new(s.m_loop.m_base.get(), socket,
                                                  BEV_OPT_CLOSE_ON_FREE));
    if (!stream)
    {
        evutil_closesocket(socket);
        return;
    }
    const std::uint64_t number = ++s.m_last_number;
    connection& c = s.m_connections[number];
    c.m_server = &s;
    c.m_number = number;
    c.m_opened_at = boot_now();
    c.m_stream = std::move(stream);
    bufferevent_setcb(c.m_stream.get(), on_readable, on_sent, on_end, &c);
    bufferevent_setwatermark(c.m_stream.get(), EV_READ, 0,
                             s.m_limits.m_header_bytes);
    bufferevent_enable(c.m_stream.get(), EV_READ | EV_WRITE);
}

void on_accept_failure(evconnlistener* listener, void* user)
{
    auto& s = *static_cast<server_state*>(user);
    evconnlistener_disable(listener);
    s.m_accept_pause.start_once(accept_pause);
}

}

http1_server::state::state(
    loop& l, http1_server_limits limits,
    sigc::slot<void(const arrived_http1_request&)> on_request)
    : m_loop(l), m_limits(limits), m_on_request(std::move(on_request)),
      m_age_check(l,
                  [this]
                  {
                      close_aged(*this);
                  }),
      m_accept_pause(l,
                     [this]
                     {
                         evconnlistener_enable(m_listener.get());
                     })
{
}

http1_server::http1_server(
    loop& l, const address& listen, http1_server_limits limits,
    sigc::slot<void(const arrived_http1_request&)> on_request)
    : m_state(std::make_unique<state>(l, limits, std::move(on_request)))
{
    constexpr int backlog = 128;
    const socket_address at = to_socket_address(listen);
    m_state->m_listener.reset(evconnlistener_new_bind(
        l.m_base.get(), on_accept, m_state.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        backlog, reinterpret_cast<const sockaddr*>(&at.m_storage),
        static_cast<int>(at.m_length)));
    if (!m_state->m_listener)
        throw loop_error();
    evconnlistener_set_error_cb(m_state->m_listener.get(), on_accept_failure);
    m_state->m_age_check.start_periodic(age_check_interval);
}

http1_server::~http1_server() = default;

bool http1_server::respond(std::uint64_t exchange, const http1_answer& response)
{
    const auto found = m_state->m_connections.find(exchange);
    if (found == m_state->m_connections.end() || found->second.m_answered)
        return false;
    found->second.m_answered = true;
    std::string text = "HTTP/1.1 " + std::to_string(response.m_status) + " ";
    text.append(response.m_reason)
        .append("\r\nContent-Type: text/plain; version=0.0.4\r\n")
        .append("Connection: close\r\nContent-Length: ")
        .append(std::to_string(response.m_body.size()))
        .append("\r\n\r\n")
        .append(response.m_body);
    bufferevent_write(found->second.m_stream.get(), text.data(), text.size());
    return true;
}

std::uint64_t http1_server::closed() const noexcept
{
    return m_state->m_closed;
}

}
