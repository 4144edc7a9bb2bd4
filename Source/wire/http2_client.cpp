#include <wire/http2_client.hpp>

#include <charconv>
#include <optional>
#include <string_view>
#include <tuple>
#include <utility>

#include <boost/intrusive/list.hpp>

#include <wire/http2_transport.hpp>
#include <wire/socket_address.hpp>

namespace bluebellspoke
{

namespace
{

namespace intrusive = boost::intrusive;

constexpr std::size_t max_streams = 1024;
constexpr std::size_t max_response_bytes = 16U << 20U;
constexpr std::chrono::seconds connect_time_limit{2};
/// Time allowed for anything to arrive on a connection after a PING.
constexpr std::chrono::milliseconds ping_timeout{500};

struct client_stream : intrusive::list_base_hook<>
{
    http2_client::state* m_client = nullptr;
    std::int32_t m_id = 0;
    http2_request m_request;
    http2_body m_body;
    http2_response m_response;
    http2_done m_done;
    std::unique_ptr<timer> m_limit;
    std::uint64_t m_reads_when_sent = 0; ///< The client's m_reads at that time.
    http2_failure m_failure = http2_failure::not_sent;
};

using stream_list =
    intrusive::list<client_stream, intrusive::constant_time_size<false>>;

}

struct http2_client::state
{
    loop& m_loop;
    address m_server;
    http2_callbacks_ptr m_callbacks;
    http2_transport m_transport;
    bool m_connected = false;
    stream_list m_streams;
    timer m_connect_limit;
    timer m_reaper;
    stream_list m_failed;
    bool m_reset_wanted = false;
    std::uint64_t m_reads = 0; ///< Counts what arrived, over all connections.
    timer m_ping_limit;
    std::optional<std::uint64_t> m_reads_when_pinged; ///< Set while one waits.

    tls_context_ptr m_tls;
    http2_client_failed m_on_failure; ///< Empty: exceptions leave the loop.

    state(loop& l, address server, tls_context_ptr tls);
    ~state();
};

namespace
{

using client_state = http2_client::state;

void finish(client_stream* stream, http2_result result)
{
    const std::unique_ptr<client_stream> owned(stream);
    owned->m_limit.reset();
    owned->m_done(result);
}

// Failures are reported from the loop, never from inside send(): the caller
// may hold references that the callback changes.
void fail_later(client_state& s, client_stream& stream, http2_failure reason)
{
    stream.m_failure = reason;
    s.m_failed.push_back(stream);
    s.m_reaper.start_once(std::chrono::microseconds::zero());
}

void fail_all(client_state& s)
{
    const http2_failure reason = s.m_connected ? http2_failure::connection_lost
                                               : http2_failure::not_sent;
    s.m_connected = false;
    s.m_transport.m_direct = false;
    s.m_connect_limit.cancel();
    s.m_ping_limit.cancel();
    s.m_reads_when_pinged.reset();
    s.m_transport.m_session.reset();
    s.m_transport.m_stream.reset();
    while (!s.m_streams.empty())
    {
        client_stream& stream = s.m_streams.front();
        s.m_streams.pop_front();
        fail_later(s, stream, reason);
    }
}

void report_failed(client_state& s)
{
    if (std::exchange(s.m_reset_wanted, false))
        fail_all(s);
    stream_list failed;
    failed.splice(failed.end(), s.m_failed);
    while (!failed.empty())
    {
        client_stream& stream = failed.front();
        failed.pop_front();
        finish(&stream, stream.m_failure);
    }
}

void pump_or_fail(client_state& s)
{
    if (s.m_transport.m_session && !pump(s.m_transport))
        fail_all(s);
}

client_stream* find_stream(nghttp2_session* session, std::int32_t id)
{
    return static_cast<client_stream*>(
        nghttp2_session_get_stream_user_data(session, id));
}

int on_header(nghttp2_session* session, const nghttp2_frame* frame,
              const std::uint8_t* name, std::size_t name_length,
              const std::uint8_t* value, std::size_t value_length, std::uint8_t,
              void*)
{
    client_stream* stream = find_stream(session, frame->hd.stream_id);
    if (stream == nullptr)
        return 0;
    const std::string_view key(reinterpret_cast<const char*>(name),
                               name_length);
    const std::string_view text(reinterpret_cast<const char*>(value),
                                value_length);
    if (key == ":status")
        std::from_chars(text.data(), text.data() + text.size(),
                        stream->m_response.m_status);
    else
        stream->m_response.m_headers.emplace_back(key, text);
    return 0;
}

int on_data(nghttp2_session* session, std::uint8_t, std::int32_t id,
            const std::uint8_t* bytes, std::size_t length, void*)
{
    client_stream* stream = find_stream(session, id);
    if (stream == nullptr)
        return 0;
    std::string& body = stream->m_response.m_body;
    if (body.size() + length > max_response_bytes)
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    body.append(reinterpret_cast<const char*>(bytes), length);
    return 0;
}

int on_stream_close(nghttp2_session* session, std::int32_t id,
                    std::uint32_t error, void* user)
{
    client_stream* stream = find_stream(session, id);
    if (stream == nullptr)
        return 0;
    auto& s = *static_cast<client_state*>(user);
    s.m_streams.erase(s.m_streams.iterator_to(*stream));
    if (error == NGHTTP2_REFUSED_STREAM)
        finish(stream, http2_failure::not_sent);
    else if (error != NGHTTP2_NO_ERROR)
        finish(stream, http2_failure::connection_lost);
    else
        finish(stream, std::move(stream->m_response));
    return 0;
}

// The HTTP/2 library is in C; an exception must not pass it if the process goes
// on. The last argument of each callback is the client.
template <auto Callback>
struct guarded;
template <class... Arguments, int (*Callback)(Arguments...)>
struct guarded<Callback>
{
    static int call(Arguments... arguments)
    {
        void* const user = std::get<sizeof...(Arguments) - 1>(
            std::tuple<Arguments...>(arguments...));
        const http2_client_failed& failed =
            static_cast<client_state*>(user)->m_on_failure;
        if (failed.empty())
            return Callback(arguments...);
        try
        {
            return Callback(arguments...);
        }
        catch (const std::exception& e)
        {
            failed(e);
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
    }
};

http2_callbacks_ptr make_client_callbacks()
{
    http2_callbacks_ptr result = make_http2_callbacks();
    nghttp2_session_callbacks* callbacks = result.get();
    nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                     guarded<on_header>::call);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        callbacks, guarded<on_data>::call);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                           on_stream_close);
    return result;
}

void on_readable(bufferevent*, void* user)
{
    auto& s = *static_cast<client_state*>(user);
    ++s.m_reads;
    if (s.m_transport.m_session && !feed(s.m_transport))
        fail_all(s);
}

// pump() stops at a bound of the output.
void on_flushed(bufferevent*, void* user)
{
    pump_or_fail(*static_cast<client_state*>(user));
}

void on_socket_event(bufferevent* stream, short what, void* user)
{
    auto& s = *static_cast<client_state*>(user);
    if ((what & BEV_EVENT_CONNECTED) != 0)
    {
        s.m_connected = true;
        s.m_transport.m_direct = is_in_the_clear(stream);
        s.m_connect_limit.cancel();
        set_no_delay(bufferevent_getfd(stream));
        return;
    }
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0)
        fail_all(s);
}

void open_connection(client_state& s)
{
    s.m_transport.m_stream =
        make_client_stream(s.m_loop, s.m_server.m_host, s.m_tls);
    s.m_transport.m_session = make_http2_session(
        http2_side::client, s.m_callbacks.get(), &s, max_streams);
    bufferevent* stream = s.m_transport.m_stream.get();
    bufferevent_setcb(stream, on_readable, on_flushed, on_socket_event, &s);
    bufferevent_enable(stream, EV_READ | EV_WRITE);
    s.m_connect_limit.start_once(connect_time_limit);
    const socket_address to = to_socket_address(s.m_server);
    bufferevent_socket_connect(stream,
                               reinterpret_cast<const sockaddr*>(&to.m_storage),
                               static_cast<int>(to.m_length));
}

bool takes_requests(client_state& s)
{
    return s.m_transport.m_session && nghttp2_session_check_request_allowed(
                                          s.m_transport.m_session.get()) != 0;
}

header_list request_pseudo(const client_state& s, const http2_request& request)
{
    return {{":method", request.m_method},
            {":scheme", s.m_tls ? "https" : "http"},
            {":authority", to_string(s.m_server)},
            {":path", request.m_path}};
}

void submit(client_state& s, client_stream& stream)
{
    const header_list pseudo = request_pseudo(s, stream.m_request);
    const std::vector<nghttp2_nv> fields =
        to_fields(pseudo, stream.m_request.m_headers);
    stream.m_body.m_bytes = std::move(stream.m_request.m_body);
    const nghttp2_data_provider provider = to_provider(stream.m_body);
    const bool has_body = !stream.m_body.m_bytes.empty();
    stream.m_id = nghttp2_submit_request(
        s.m_transport.m_session.get(), nullptr, fields.data(), fields.size(),
        has_body ? &provider : nullptr, &stream);
}

// A connection whose path was lost without a reset stays open for minutes and
// answers nothing; a server that is only slow still answers a PING.
void ping_if_silent(client_state& s, const client_stream& stream)
{
    if (!s.m_connected || s.m_reads_when_pinged ||
        s.m_reads != stream.m_reads_when_sent)
        return;
    s.m_reads_when_pinged = s.m_reads;
    nghttp2_submit_ping(s.m_transport.m_session.get(), NGHTTP2_FLAG_NONE,
                        nullptr);
    s.m_ping_limit.start_once(ping_timeout);
}

void check_ping(client_state& s)
{
    const auto reads_when_pinged = std::exchange(s.m_reads_when_pinged, {});
    if (reads_when_pinged == s.m_reads)
        fail_all(s);
}

void time_out(client_stream& stream)
{
    client_state& s = *stream.m_client;
    nghttp2_session* session = s.m_transport.m_session.get();
    // A stream that failed already waits in the other list for its report.
    if (session == nullptr || find_stream(session, stream.m_id) != &stream)
        return;
    nghttp2_session_set_stream_user_data(session, stream.m_id, nullptr);
    nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream.m_id,
                              NGHTTP2_CANCEL);
    s.m_streams.erase(s.m_streams.iterator_to(stream));
    const http2_failure reason =
        s.m_connected ? http2_failure::timed_out : http2_failure::not_sent;
    ping_if_silent(s, stream);
    pump_or_fail(s);
    finish(&stream, reason);
}

}

http2_client::state::state(loop& l, address server, tls_context_ptr tls)
    : m_loop(l), m_server(std::move(server)),
      m_callbacks(make_client_callbacks()), m_connect_limit(l,
                                                            [this]
                                                            {
                                                                fail_all(*this);
                                                            }),
      m_reaper(l,
               [this]
               {
                   report_failed(*this);
               }),
      m_ping_limit(l,
                   [this]
                   {
                       check_ping(*this);
                   }),
      m_tls(std::move(tls))
{
}

http2_client::state::~state()
{
    m_transport.m_session.reset();
    m_streams.clear_and_dispose(std::default_delete<client_stream>());
    m_failed.clear_and_dispose(std::default_delete<client_stream>());
}

std::string_view to_string(http2_failure failure) noexcept
{
    switch (failure)
    {
    case http2_failure::not_sent:
        return "not_sent";
    case http2_failure::connection_lost:
        return "connection_lost";
    case http2_failure::timed_out:
        return "timed_out";
    }
    return "not_sent";
}

http2_client::http2_client(loop& l, address server, tls_context_ptr tls)
    : m_state(std::make_unique<state>(l, std::move(server), std::move(tls)))
{
}

http2_client::~http2_client() = default;

void http2_client::send(http2_request request, duration time_limit,
                        http2_done done)
{
    client_state& s = *m_state;
    // A session that was told to go away still answers what is under way.
    const bool leaving = s.m_transport.m_session && !takes_requests(s);
    const bool must_wait =
        leaving && (s.m_transport.m_feeding || !s.m_streams.empty());
    if (leaving && !must_wait)
        fail_all(s);
    if (!s.m_transport.m_session)
        open_connection(s);
    auto made = std::make_unique<client_stream>();
    client_stream& stream = *made.release();
    stream.m_client = &s;
    stream.m_request = std::move(request);
    stream.m_done = std::move(done);
    // Connecting may fail inside open_connection(), as on loopback it does.
    if (must_wait || !s.m_transport.m_session)
    {
        fail_later(s, stream, http2_failure::not_sent);
        return;
    }
    s.m_streams.push_back(stream);
    stream.m_reads_when_sent = s.m_reads;
    submit(s, stream);
    stream.m_limit = std::make_unique<timer>(s.m_loop,
                                             [&stream]
                                             {
                                                 time_out(stream);
                                             });
    stream.m_limit->start_once(
        std::chrono::duration_cast<std::chrono::microseconds>(time_limit));
    pump_or_fail(s);
}

void http2_client::set_tls(tls_context_ptr tls)
{
    m_state->m_tls = std::move(tls);
}

void http2_client::drop_failed(http2_client_failed failed)
{
    m_state->m_on_failure = std::move(failed);
}

const address& http2_client::server() const noexcept
{
    return m_state->m_server;
}

bool http2_client::connected() const noexcept
{
    return m_state->m_connected;
}

void http2_client::reset()
{
    // From the loop: the session may be in the middle of its input.
    m_state->m_reset_wanted = true;
    m_state->m_reaper.start_once(std::chrono::microseconds::zero());
}

}
