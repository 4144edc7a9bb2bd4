#ifndef BLUEBELLSPOKE_WIRE_HTTP2_TRANSPORT_HPP
#define BLUEBELLSPOKE_WIRE_HTTP2_TRANSPORT_HPP

#include <exception>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include <event2/bufferevent.h>
#include <nghttp2/nghttp2.h>

#include <task/loop.hpp>
#include <wire/http2_message.hpp>
#include <wire/tls_context.hpp>

namespace bluebellspoke
{

/// An HTTP/2 session could not be made.
class http2_error : public std::exception
{
public:
    const char* what() const noexcept override;
};

struct bufferevent_deleter
{
    void operator()(bufferevent* stream) const noexcept;
};
struct http2_session_deleter
{
    void operator()(nghttp2_session* session) const noexcept;
};
struct http2_callbacks_deleter
{
    void operator()(nghttp2_session_callbacks* callbacks) const noexcept;
};
using bufferevent_ptr = std::unique_ptr<bufferevent, bufferevent_deleter>;
using http2_session_ptr =
    std::unique_ptr<nghttp2_session, http2_session_deleter>;
using http2_callbacks_ptr =
    std::unique_ptr<nghttp2_session_callbacks, http2_callbacks_deleter>;

/// One HTTP/2 connection: a socket of the owning task and its session.
struct http2_transport
{
    bufferevent_ptr m_stream;
    http2_session_ptr m_session;
    bool m_feeding = false;
    /// Connected and in the clear: the socket may be written at once.
    bool m_direct = false;
};

/// A body on its way out, as a data provider reads it.
struct http2_body
{
    std::string m_bytes;
    std::size_t m_sent = 0;
};

enum class http2_side : std::uint8_t
{
    client,
    server,
};

/// A socket's stream: in TLS when there is a context, else in the clear. A
/// client's `host` is the IP number that the server's certificate must name.
/// Throws tls_error, http2_error.
bufferevent_ptr make_server_stream(loop& l, int descriptor,
                                   const tls_context_ptr& tls);
bufferevent_ptr make_client_stream(loop& l, const std::string& host,
                                   const tls_context_ptr& tls);

/// True unless the stream speaks TLS.
bool is_in_the_clear(bufferevent* stream) noexcept;

/// Throws http2_error.
http2_session_ptr make_http2_session(http2_side side,
                                     nghttp2_session_callbacks* callbacks,
                                     void* user, std::size_t max_streams);
http2_callbacks_ptr make_http2_callbacks();

/// Passes what has arrived to the session. Returns false when it is broken.
bool feed(http2_transport& t);
bool feed(http2_transport& t, std::span<const std::uint8_t> bytes);
/// Passes what the session wants sent to the socket, unless feed() is under
/// way, which ends by doing so. Returns false when the connection is over.
bool pump(http2_transport& t);
/// Switches off Nagle's algorithm: answers are small and wanted now.
void set_no_delay(int descriptor) noexcept;
/// Closes the connection when its other end is gone without a reset: after 30 s
/// in which nothing arrives, probes included.
void set_keep_alive(int descriptor) noexcept;

/// Views of header fields for nghttp2; they live as long as the arguments.
std::vector<nghttp2_nv> to_fields(const header_list& pseudo,
                                  const header_list& headers);
nghttp2_data_provider to_provider(http2_body& body) noexcept;

}

#endif
