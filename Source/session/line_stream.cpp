#include <session/line_stream.hpp>

#include <algorithm>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <event2/buffer.h>

#include <session/session_codec.hpp>
#include <wire/reset_when_closed.hpp>
#include <wire/socket_address.hpp>

namespace bluebellspoke
{

namespace
{

// A connection ends if sent bytes stay unacknowledged for this long: the peer
// is cut off by a network partition or has lost power. Endpoints drop such a
// connection after 3 s.
constexpr unsigned unacknowledged_ms = 3000;

constexpr std::size_t line_end_length = 2;

void set_socket_options(evutil_socket_t socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
               sizeof unacknowledged_ms);
}

}

// The event library closes the socket of a freed bufferevent only later in the
// loop's turn. Connections accepted until then would exceed the limit on
// descriptors, since a destroyed stream no longer counts.
void line_stream::bufferevent_deleter::operator()(bufferevent* b) const noexcept
{
    const evutil_socket_t socket = bufferevent_getfd(b);
    bufferevent_setfd(b, -1);
    bufferevent_free(b);
    if (socket >= 0)
        evutil_closesocket(socket);
}

line_stream::line_stream(loop& l, evutil_socket_t connected,
                         line_stream_handlers handlers)
    : m_handlers(std::move(handlers)),
      m_buffer(bufferevent_socket_new(l.m_base.get(), connected,
                                      BEV_OPT_CLOSE_ON_FREE))
{
    set_socket_options(connected);
    attach();
}

line_stream::line_stream(loop& l, const address& server,
                         line_stream_handlers handlers)
    : m_handlers(std::move(handlers)),
      m_buffer(
          bufferevent_socket_new(l.m_base.get(), -1, BEV_OPT_CLOSE_ON_FREE))
{
    const socket_address target = to_socket_address(server);
    attach();
    if (bufferevent_socket_connect(
            m_buffer.get(),
            reinterpret_cast<const sockaddr*>(&target.m_storage),
            static_cast<int>(target.m_length)) != 0)
        throw loop_error();
    set_socket_options(bufferevent_getfd(m_buffer.get()));
}

void line_stream::attach()
{
    if (!m_buffer)
        throw loop_error();
    bufferevent_setcb(m_buffer.get(), &line_stream::on_read,
                      &line_stream::on_written, &line_stream::on_event, this);
    set_read_limit(max_line_length + line_end_length);
    bufferevent_enable(m_buffer.get(), EV_READ | EV_WRITE);
}

void line_stream::set_read_limit(std::size_t bytes)
{
    m_read_limit = bytes;
    bufferevent_setwatermark(m_buffer.get(), EV_READ, 0, bytes);
    resume_reading();
}

// While reading is enabled, the event library calls on_read in each turn of the
// loop until the unread bytes are below the limit.
void line_stream::resume_reading()
{
    if (m_reads || unread() >= m_read_limit)
        return;
    m_reads = true;
    bufferevent_enable(m_buffer.get(), EV_READ);
}

std::optional<std::string_view> line_stream::next_line()
{
    evbuffer* input = bufferevent_get_input(m_buffer.get());
    std::size_t end_length = 0;
    evbuffer_ptr start{};
    evbuffer_ptr_set(input, &start, m_searched, EVBUFFER_PTR_SET);
    const evbuffer_ptr end = evbuffer_search_eol(input, &start, &end_length,
                                                 EVBUFFER_EOL_CRLF_STRICT);
    if (end.pos < 0)
    {
        // The last byte may be the first one of a line's end. A line that
        // arrives in small pieces isn't searched from its begin each time.
        const std::size_t length = evbuffer_get_length(input);
        m_searched = length - std::min<std::size_t>(length, 1);
        if (length > max_line_length + 1 && !m_finishing)
        {
            const sigc::slot<void(stream_end_reason)> on_end =
                m_handlers.m_on_end;
            on_end(stream_end_reason::line_too_long);
        }
        return std::nullopt;
    }
    m_searched = 0;
    m_line.resize(static_cast<std::size_t>(end.pos));
    evbuffer_remove(input, m_line.data(), m_line.size());
    evbuffer_drain(input, end_length);
    resume_reading();
    return m_line;
}

void line_stream::drop_line() noexcept
{
    // Small lines reuse the memory.
    constexpr std::size_t kept = 1024;
    if (m_line.capacity() > kept)
        std::string().swap(m_line);
}

void line_stream::write(std::string_view bytes)
{
    bufferevent_write(m_buffer.get(), bytes.data(), bytes.size());
}

std::size_t line_stream::unsent() const noexcept
{
    return evbuffer_get_length(bufferevent_get_output(m_buffer.get()));
}

std::size_t line_stream::unread() const noexcept
{
    return evbuffer_get_length(bufferevent_get_input(m_buffer.get()));
}

void line_stream::reset_at_end() noexcept
{
    reset_when_closed(bufferevent_getfd(m_buffer.get()));
}

void line_stream::finish()
{
    m_finishing = true;
    if (unsent() == 0)
        shutdown(bufferevent_getfd(m_buffer.get()), SHUT_WR);
}

void line_stream::on_read(bufferevent*, void* context)
{
    auto& s = *static_cast<line_stream*>(context);
    if (s.unread() >= s.m_read_limit)
    {
        s.m_reads = false;
        bufferevent_disable(s.m_buffer.get(), EV_READ);
    }
    // The slot is called through a copy because it may destroy the stream.
    const sigc::slot<void()> on_readable = s.m_handlers.m_on_readable;
    on_readable();
}

void line_stream::on_written(bufferevent* b, void* context)
{
    auto& s = *static_cast<line_stream*>(context);
    if (s.m_finishing)
        shutdown(bufferevent_getfd(b), SHUT_WR);
    const sigc::slot<void()> on_sent = s.m_handlers.m_on_sent;
    if (on_sent)
        on_sent();
}

void line_stream::on_event(bufferevent*, short what, void* context)
{
    auto& s = *static_cast<line_stream*>(context);
    if ((what & BEV_EVENT_CONNECTED) != 0)
        return;
    const sigc::slot<void(stream_end_reason)> on_end = s.m_handlers.m_on_end;
    on_end(stream_end_reason::closed);
}

}
