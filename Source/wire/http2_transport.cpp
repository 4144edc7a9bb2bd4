#include <wire/http2_transport.hpp>

#include <algorithm>
#include <array>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent_ssl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bluebellspoke
{

namespace
{

// A TLS stream may report from inside a write; deferred, its callbacks come
// from the loop as those of a plain stream do.
constexpr int stream_options = BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS;
constexpr std::uint32_t connection_window_bytes = 4U << 20U;
constexpr std::uint32_t stream_window_bytes = 1U << 20U;
constexpr std::size_t gathered_bytes = 4096;
constexpr std::size_t most_output_bytes = 1U << 20U;

nghttp2_nv to_field(const std::pair<std::string, std::string>& header)
{
    nghttp2_nv field{};
    // nghttp2 takes the bytes as mutable but only copies them.
    field.name =
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(header.first.data()));
    field.namelen = header.first.size();
    field.value = reinterpret_cast<std::uint8_t*>(
        const_cast<char*>(header.second.data()));
    field.valuelen = header.second.size();
    field.flags = NGHTTP2_NV_FLAG_NONE;
    return field;
}

ssize_t read_body(nghttp2_session*, std::int32_t, std::uint8_t* out,
                  std::size_t room, std::uint32_t* flags,
                  nghttp2_data_source* source, void*)
{
    auto& body = *static_cast<http2_body*>(source->ptr);
    const std::size_t left = body.m_bytes.size() - body.m_sent;
    const std::size_t count = std::min(left, room);
    std::memcpy(out, body.m_bytes.data() + body.m_sent, count);
    body.m_sent += count;
    if (body.m_sent == body.m_bytes.size())
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(count);
}

// What the socket doesn't take now, the stream sends later; it also reports a
// socket that is broken. A write event for each answer, as the stream alone
// needs, costs three more system calls.
void write_out(http2_transport& t, std::span<const std::uint8_t> bytes)
{
    evbuffer* output = bufferevent_get_output(t.m_stream.get());
    if (t.m_direct && evbuffer_get_length(output) == 0)
    {
        const ssize_t sent =
            send(bufferevent_getfd(t.m_stream.get()), bytes.data(),
                 bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0)
            bytes = bytes.subspan(static_cast<std::size_t>(sent));
    }
    if (!bytes.empty())
        evbuffer_add(output, bytes.data(), bytes.size());
}

/// Gathers frames, so that an answer's headers and body go out in one piece.
struct outgoing
{
    // The bytes stay as they are: clearing them would cost more than the rest.
    explicit outgoing(http2_transport& t) : m_transport(t) {}

    http2_transport& m_transport;
    std::size_t m_used = 0;
    std::array<std::uint8_t, gathered_bytes> m_bytes;

    void flush()
    {
        if (m_used > 0)
            write_out(m_transport, std::span(m_bytes).first(m_used));
        m_used = 0;
    }

    void append(std::span<const std::uint8_t> frame)
    {
        if (frame.size() > m_bytes.size() - m_used)
            flush();
        if (frame.size() > m_bytes.size())
        {
            write_out(m_transport, frame);
            return;
        }
        std::memcpy(m_bytes.data() + m_used, frame.data(), frame.size());
        m_used += frame.size();
    }
};

}

const char* http2_error::what() const noexcept
{
    return "HTTP/2 session unavailable";
}

void bufferevent_deleter::operator()(bufferevent* stream) const noexcept
{
    bufferevent_free(stream);
}

void http2_session_deleter::operator()(nghttp2_session* session) const noexcept
{
    nghttp2_session_del(session);
}

void http2_callbacks_deleter::operator()(
    nghttp2_session_callbacks* callbacks) const noexcept
{
    nghttp2_session_callbacks_del(callbacks);
}

bufferevent_ptr make_server_stream(loop& l, int descriptor,
                                   const tls_context_ptr& tls)
{
    event_base* base = l.m_base.get();
    bufferevent_ptr stream(
        tls ? bufferevent_openssl_socket_new(
                  base, descriptor, make_server_tls(*tls),
                  BUFFEREVENT_SSL_ACCEPTING, stream_options)
            : bufferevent_socket_new(base, descriptor, BEV_OPT_CLOSE_ON_FREE));
    if (!stream)
        throw http2_error();
    return stream;
}

bufferevent_ptr make_client_stream(loop& l, const std::string& host,
                                   const tls_context_ptr& tls)
{
    event_base* base = l.m_base.get();
    bufferevent_ptr stream(
        tls ? bufferevent_openssl_socket_new(
                  base, -1, make_client_tls(*tls, host),
                  BUFFEREVENT_SSL_CONNECTING, stream_options)
            : bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE));
    if (!stream)
        throw http2_error();
    return stream;
}

bool is_in_the_clear(bufferevent* stream) noexcept
{
    return bufferevent_openssl_get_ssl(stream) == nullptr;
}

http2_callbacks_ptr make_http2_callbacks()
{
    nghttp2_session_callbacks* callbacks = nullptr;
    if (nghttp2_session_callbacks_new(&callbacks) != 0)
        throw http2_error();
    return http2_callbacks_ptr(callbacks);
}

http2_session_ptr make_http2_session(http2_side side,
                                     nghttp2_session_callbacks* callbacks,
                                     void* user, std::size_t max_streams)
{
    nghttp2_session* session = nullptr;
    const int made =
        side == http2_side::server
            ? nghttp2_session_server_new(&session, callbacks, user)
            : nghttp2_session_client_new(&session, callbacks, user);
    if (made != 0)
        throw http2_error();
    http2_session_ptr result(session);
    const std::array settings{
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                               static_cast<std::uint32_t>(max_streams)},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                               stream_window_bytes},
    };
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings.data(),
                            settings.size());
    nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0,
                                          connection_window_bytes);
    return result;
}

bool feed(http2_transport& t, std::span<const std::uint8_t> bytes)
{
    t.m_feeding = true;
    const ssize_t taken =
        nghttp2_session_mem_recv(t.m_session.get(), bytes.data(), bytes.size());
    t.m_feeding = false;
    return pump(t) && taken >= 0;
}

bool feed(http2_transport& t)
{
    evbuffer* input = bufferevent_get_input(t.m_stream.get());
    const std::size_t length = evbuffer_get_length(input);
    const std::uint8_t* bytes =
        evbuffer_pullup(input, static_cast<ev_ssize_t>(length));
    const bool sound = feed(t, std::span(bytes, length));
    evbuffer_drain(input, length);
    return sound;
}

bool pump(http2_transport& t)
{
    if (t.m_feeding)
        return true;
    outgoing out(t);
    // What a peer doesn't read stays in its streams, which are counted, and not
    // in the output. The rest follows when the output is sent.
    const evbuffer* output = bufferevent_get_output(t.m_stream.get());
    while (evbuffer_get_length(output) < most_output_bytes)
    {
        const std::uint8_t* bytes = nullptr;
        const ssize_t length =
            nghttp2_session_mem_send(t.m_session.get(), &bytes);
        if (length < 0)
            return false;
        if (length == 0)
            break;
        out.append({bytes, static_cast<std::size_t>(length)});
    }
    out.flush();
    return nghttp2_session_want_read(t.m_session.get()) != 0 ||
           nghttp2_session_want_write(t.m_session.get()) != 0;
}

void set_no_delay(int descriptor) noexcept
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void set_keep_alive(int descriptor) noexcept
{
    const int on = 1;
    const int idle_s = 15;
    const int interval_s = 5;
    const int probes = 3;
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
               sizeof(interval_s));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

std::vector<nghttp2_nv> to_fields(const header_list& pseudo,
                                  const header_list& headers)
{
    std::vector<nghttp2_nv> fields;
    fields.reserve(pseudo.size() + headers.size());
    for (const auto& header : pseudo)
        fields.push_back(to_field(header));
    for (const auto& header : headers)
        fields.push_back(to_field(header));
    return fields;
}

nghttp2_data_provider to_provider(http2_body& body) noexcept
{
    nghttp2_data_provider provider{};
    provider.source.ptr = &body;
    provider.read_callback = read_body;
    return provider;
}

}
