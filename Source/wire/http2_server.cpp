#include <wire/http2_server.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <iterator>
#include <span>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include <sys/socket.h>

#include <boost/intrusive/list.hpp>
#include <event2/buffer.h>
#include <event2/listener.h>

#include <wire/http2_transport.hpp>
#include <wire/socket_address.hpp>

namespace bluebellspoke
{

namespace
{

namespace intrusive = boost::intrusive;

struct connection;

struct listener_deleter
{
    void operator()(evconnlistener* listener) const noexcept
    {
        evconnlistener_free(listener);
    }
};

struct server_stream : intrusive::list_base_hook<>
{
    std::int32_t m_id = 0;
    bool m_asked = false;
    bool m_answered = false;
    std::size_t m_header_bytes = 0;
    std::size_t m_pending = 0; ///< Counted for the connection and the server.
    arrived_request m_arrived;
    http2_body m_body;
};

using unsent_hook =
    intrusive::list_base_hook<intrusive::link_mode<intrusive::auto_unlink>>;

struct connection : unsent_hook
{
    http2_server::state* m_server = nullptr;
    connection_id m_id = 0;
    std::size_t m_slot = 0;
    http2_transport m_transport;
    event_ptr m_input; ///< In the clear; TLS reads by its stream.
    intrusive::list<server_stream, intrusive::constant_time_size<false>>
        m_streams;
    bool m_doomed = false;
    bool m_failed = false;      ///< Dropped once its input has been handled.
    bool m_retiring = false;    ///< Told that it will end.
    bool m_half_closed = false; ///< Everything is sent; the caller's end waits.
    unsigned m_sweeps = 0;      ///< Since it was half closed.
    std::size_t m_pending = 0;  ///< Bytes of its streams.
    std::uint64_t m_used = 0;   ///< Order of its last input among all.

    ~connection()
    {
        m_streams.clear_and_dispose(std::default_delete<server_stream>());
    }
};

// An id holds its slot in the low half and the slot's generation in the high
// one, so that a late answer never reaches the slot's next connection.
constexpr unsigned generation_shift = 32;
constexpr std::uint64_t slot_mask = 0xffffffff;

struct connection_slot
{
    std::uint64_t m_generation = 0;
    std::unique_ptr<connection> m_connection;
};

}

struct http2_server::state
{
    loop& m_loop;
    http2_server_limits m_limits;
    http2_server_handlers m_handlers;
    std::unique_ptr<evconnlistener, listener_deleter> m_listener;
    address m_local;
    http2_callbacks_ptr m_callbacks;
    std::vector<connection_slot> m_slots;
    std::vector<std::size_t> m_free;
    std::size_t m_open_connections = 0;
    std::size_t m_open_exchanges = 0;
    std::size_t m_pending = 0;      ///< Bytes of all streams.
    std::uint64_t m_last_used = 0;  ///< Counts inputs.
    std::uint64_t m_closed = 0;     ///< Because of a limit.
    std::unique_ptr<timer> m_sweep; ///< Ends retiring connections.
    std::unique_ptr<timer> m_accept_pause;
    tls_context_ptr m_tls;
    /// Connections with answers that this turn of the loop still gathers.
    intrusive::list<connection, intrusive::base_hook<unsent_hook>,
                    intrusive::constant_time_size<false>>
        m_unsent;
    event_ptr m_turn_end;
    http2_failed m_failed; ///< Empty: exceptions leave the loop.
    std::uint64_t m_failures = 0;
};

namespace
{

using server_state = http2_server::state;

server_stream* find_stream(connection& c, std::int32_t id)
{
    return static_cast<server_stream*>(nghttp2_session_get_stream_user_data(
        c.m_transport.m_session.get(), id));
}

connection* find_connection(server_state& s, connection_id id)
{
    const std::size_t slot = id & slot_mask;
    if (slot >= s.m_slots.size() ||
        s.m_slots[slot].m_generation != id >> generation_shift)
        return nullptr;
    return s.m_slots[slot].m_connection.get();
}

void count_pending(connection& c, server_stream& stream, std::size_t bytes)
{
    stream.m_pending += bytes;
    c.m_pending += bytes;
    server_state& s = *c.m_server;
    s.m_pending += bytes;
    if (s.m_pending > s.m_limits.m_pending_bytes)
        event_active(s.m_turn_end.get(), EV_TIMEOUT, 0);
}

void forget_pending(connection& c, server_stream& stream)
{
    c.m_pending -= stream.m_pending;
    c.m_server->m_pending -= stream.m_pending;
    stream.m_pending = 0;
}

void drop_connection(connection& c)
{
    server_state& s = *c.m_server;
    s.m_pending -= std::exchange(c.m_pending, 0);
    const connection_id id = c.m_id;
    connection_slot& slot = s.m_slots[c.m_slot];
    std::vector<exchange_id> abandoned;
    for (const server_stream& stream : c.m_streams)
        if (stream.m_asked && !stream.m_answered)
            abandoned.push_back({id, stream.m_id});
    s.m_open_exchanges -= abandoned.size();
    --s.m_open_connections;
    s.m_free.push_back(c.m_slot);
    ++slot.m_generation;
    slot.m_connection.reset();
    for (const exchange_id& exchange : abandoned)
        s.m_handlers.m_on_abandoned(exchange);
    s.m_handlers.m_on_disconnect(id);
}

// Closing a socket that still holds input resets it, and the caller may lose
// the last answer. So only the sending side ends; the caller closes the rest.
void half_close(connection& c)
{
    c.m_half_closed = true;
    shutdown(bufferevent_getfd(c.m_transport.m_stream.get()), SHUT_WR);
}

void pump_or_drop(connection& c)
{
    if (c.m_half_closed)
        return;
    if (!pump(c.m_transport))
        c.m_doomed = true;
    evbuffer* output = bufferevent_get_output(c.m_transport.m_stream.get());
    const bool flushed = evbuffer_get_length(output) == 0;
    if (!c.m_doomed || !flushed || c.m_transport.m_feeding)
        return;
    if (c.m_retiring)
        half_close(c);
    else
        drop_connection(c);
}

// True while the application has a request of the connection.
bool awaits_answer(const connection& c)
{
    return std::any_of(c.m_streams.begin(), c.m_streams.end(),
                       [](const server_stream& s)
                       {
                           return s.m_asked && !s.m_answered;
                       });
}

// The connection of which the application has no request that was used least
// recently; null: none.
connection* least_used(server_state& s)
{
    connection* found = nullptr;
    for (const connection_slot& slot : s.m_slots)
    {
        connection* c = slot.m_connection.get();
        if (c != nullptr && (found == nullptr || c->m_used < found->m_used) &&
            !awaits_answer(*c))
            found = c;
    }
    return found;
}

void drop_largest(server_state& s)
{
    while (s.m_pending > s.m_limits.m_pending_bytes)
    {
        connection* largest = nullptr;
        for (const connection_slot& slot : s.m_slots)
        {
            connection* c = slot.m_connection.get();
            if (c != nullptr &&
                (largest == nullptr || c->m_pending > largest->m_pending))
                largest = c;
        }
        ++s.m_closed;
        drop_connection(*largest);
    }
}

void send_unsent(evutil_socket_t, short, void* user)
{
    auto& s = *static_cast<server_state*>(user);
    while (!s.m_unsent.empty())
    {
        connection& c = s.m_unsent.front();
        s.m_unsent.pop_front();
        pump_or_drop(c);
    }
    drop_largest(s);
}

bool has_several_streams(const connection& c)
{
    return !c.m_streams.empty() &&
           std::next(c.m_streams.begin()) != c.m_streams.end();
}

// A caller that waits for one answer gets it at once. Those of a connection
// with several requests go out together at the end of the loop's turn.
void send_answer(connection& c)
{
    if (!has_several_streams(c))
    {
        pump_or_drop(c);
        return;
    }
    if (!c.unsent_hook::is_linked())
        c.m_server->m_unsent.push_back(c);
    event_active(c.m_server->m_turn_end.get(), EV_TIMEOUT, 0);
}

constexpr std::chrono::milliseconds sweep_period{50};

// The notice lets requests that were on their way still arrive. Once none is
// left, the last message names the last request that was taken.
bool end_if_idle(connection& c)
{
    constexpr unsigned most_sweeps = 20;
    if (c.m_half_closed && ++c.m_sweeps > most_sweeps)
    {
        drop_connection(c);
        return false;
    }
    if (!c.m_retiring || c.m_half_closed || !c.m_streams.empty())
        return c.m_retiring;
    nghttp2_session* session = c.m_transport.m_session.get();
    nghttp2_submit_goaway(session, NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(session),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    pump_or_drop(c);
    return true;
}

void sweep(server_state& s)
{
    bool any = false;
    for (std::size_t slot = 0; slot < s.m_slots.size(); ++slot)
    {
        connection* c = s.m_slots[slot].m_connection.get();
        if (c != nullptr && end_if_idle(*c))
            any = true;
    }
    if (any)
        s.m_sweep->start_once(sweep_period);
}

void retire_connection(connection& c)
{
    if (std::exchange(c.m_retiring, true))
        return;
    nghttp2_submit_shutdown_notice(c.m_transport.m_session.get());
    c.m_server->m_sweep->start_once(sweep_period);
    pump_or_drop(c);
}

// The HTTP/2 library is in C; an exception must not pass it if the process goes
// on. The last argument of each callback is the connection.
template <auto Callback>
struct guarded;
template <class... Arguments, int (*Callback)(Arguments...)>
struct guarded<Callback>
{
    static int call(Arguments... arguments)
    {
        void* const user = std::get<sizeof...(Arguments) - 1>(
            std::tuple<Arguments...>(arguments...));
        auto& c = *static_cast<connection*>(user);
        const http2_failed& failed = c.m_server->m_failed;
        if (failed.empty())
            return Callback(arguments...);
        try
        {
            return Callback(arguments...);
        }
        catch (const std::exception& e)
        {
            c.m_failed = true;
            ++c.m_server->m_failures;
            failed(c.m_id, e);
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
    }
};

// After input was handled.
void drop_if_failed_or_pump(connection& c)
{
    if (c.m_failed)
        drop_connection(c);
    else
        pump_or_drop(c);
}

int on_begin_headers(nghttp2_session* session, const nghttp2_frame* frame,
                     void* user)
{
    if (frame->hd.type != NGHTTP2_HEADERS)
        return 0;
    auto& c = *static_cast<connection*>(user);
    auto stream = std::make_unique<server_stream>();
    stream->m_id = frame->hd.stream_id;
    stream->m_arrived.m_exchange = {c.m_id, frame->hd.stream_id};
    nghttp2_session_set_stream_user_data(session, frame->hd.stream_id,
                                         stream.get());
    c.m_streams.push_back(*stream.release());
    return 0;
}

int on_header(nghttp2_session*, const nghttp2_frame* frame,
              const std::uint8_t* name, std::size_t name_length,
              const std::uint8_t* value, std::size_t value_length, std::uint8_t,
              void* user)
{
    auto& c = *static_cast<connection*>(user);
    server_stream* stream = find_stream(c, frame->hd.stream_id);
    if (stream == nullptr)
        return 0;
    const std::string_view key(reinterpret_cast<const char*>(name),
                               name_length);
    const std::string_view text(reinterpret_cast<const char*>(value),
                                value_length);
    // What HTTP/2 itself counts for an entry, besides its text.
    constexpr std::size_t entry_bytes = 32;
    const std::size_t bytes = name_length + value_length + entry_bytes;
    stream->m_header_bytes += bytes;
    if (stream->m_header_bytes > c.m_server->m_limits.m_header_bytes)
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    count_pending(c, *stream, bytes);
    http2_request& request = stream->m_arrived.m_request;
    if (key == ":method")
        request.m_method = text;
    else if (key == ":path")
        request.m_path = text;
    else if (!key.starts_with(':'))
        request.m_headers.emplace_back(key, text);
    return 0;
}

int on_data(nghttp2_session*, std::uint8_t, std::int32_t id,
            const std::uint8_t* bytes, std::size_t length, void* user)
{
    auto& c = *static_cast<connection*>(user);
    server_stream* stream = find_stream(c, id);
    if (stream == nullptr || stream->m_arrived.m_oversized)
        return 0;
    std::string& body = stream->m_arrived.m_request.m_body;
    if (body.size() + length > c.m_server->m_limits.m_body_bytes)
    {
        stream->m_arrived.m_oversized = true;
        body.clear();
        return 0;
    }
    body.append(reinterpret_cast<const char*>(bytes), length);
    count_pending(c, *stream, length);
    return 0;
}

int on_frame(nghttp2_session*, const nghttp2_frame* frame, void* user)
{
    const bool ended = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    const bool carries =
        frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    if (!ended || !carries)
        return 0;
    auto& c = *static_cast<connection*>(user);
    server_stream* stream = find_stream(c, frame->hd.stream_id);
    if (stream == nullptr)
        return 0;
    stream->m_asked = true;
    forget_pending(c, *stream);
    ++c.m_server->m_open_exchanges;
    c.m_server->m_handlers.m_on_request(stream->m_arrived);
    return 0;
}

int on_stream_close(nghttp2_session*, std::int32_t id, std::uint32_t,
                    void* user)
{
    auto& c = *static_cast<connection*>(user);
    server_stream* stream = find_stream(c, id);
    if (stream == nullptr)
        return 0;
    const bool abandoned = stream->m_asked && !stream->m_answered;
    forget_pending(c, *stream);
    c.m_streams.erase_and_dispose(c.m_streams.iterator_to(*stream),
                                  std::default_delete<server_stream>());
    if (!abandoned)
        return 0;
    --c.m_server->m_open_exchanges;
    c.m_server->m_handlers.m_on_abandoned({c.m_id, id});
    return 0;
}

http2_callbacks_ptr make_server_callbacks()
{
    http2_callbacks_ptr result = make_http2_callbacks();
    nghttp2_session_callbacks* callbacks = result.get();
    nghttp2_session_callbacks_set_on_begin_headers_callback(
        callbacks, guarded<on_begin_headers>::call);
    nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                     guarded<on_header>::call);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        callbacks, guarded<on_data>::call);
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        callbacks, guarded<on_frame>::call);
    nghttp2_session_callbacks_set_on_stream_close_callback(
        callbacks, guarded<on_stream_close>::call);
    return result;
}

void on_readable(bufferevent*, void* user)
{
    auto& c = *static_cast<connection*>(user);
    c.m_used = ++c.m_server->m_last_used;
    if (!feed(c.m_transport))
        c.m_doomed = true;
    drop_if_failed_or_pump(c);
}

void on_flushed(bufferevent*, void* user)
{
    auto& c = *static_cast<connection*>(user);
    pump_or_drop(c);
}

void on_socket_event(bufferevent*, short what, void* user)
{
    auto& c = *static_cast<connection*>(user);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0)
        drop_connection(c);
}

// Read here, input needs no buffer of the stream and no call that asks for its
// length first.
void on_input(evutil_socket_t descriptor, short, void* user)
{
    auto& c = *static_cast<connection*>(user);
    constexpr std::size_t most_at_once = 16384;
    std::array<std::uint8_t, most_at_once> bytes;
    const ssize_t count =
        recv(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (count <= 0)
    {
        drop_connection(c);
        return;
    }
    c.m_used = ++c.m_server->m_last_used;
    if (!feed(c.m_transport,
              std::span(bytes).first(static_cast<std::size_t>(count))))
        c.m_doomed = true;
    drop_if_failed_or_pump(c);
}

void watch_input(connection& c, int descriptor)
{
    c.m_input.reset(event_new(c.m_server->m_loop.m_base.get(), descriptor,
                              EV_READ | EV_PERSIST, on_input, &c));
    if (!c.m_input)
        throw loop_error();
    event_add(c.m_input.get(), nullptr);
}

std::size_t take_slot(server_state& s)
{
    if (s.m_free.empty())
    {
        s.m_slots.emplace_back();
        // Generation 0 stays unused: no connection has the id 0.
        s.m_slots.back().m_generation = 1;
        return s.m_slots.size() - 1;
    }
    const std::size_t slot = s.m_free.back();
    s.m_free.pop_back();
    return slot;
}

void pause_accepting(server_state& s, std::chrono::microseconds time)
{
    if (!s.m_listener)
        return;
    evconnlistener_disable(s.m_listener.get());
    s.m_accept_pause->start_once(time);
}

// Without a pause, want of descriptors would be reported with each turn.
void on_accept_failure(evconnlistener*, void* user)
{
    constexpr std::chrono::milliseconds time{100};
    pause_accepting(*static_cast<server_state*>(user), time);
}

void on_accept(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int,
               void* user)
{
    auto& s = *static_cast<server_state*>(user);
    if (s.m_open_connections >= s.m_limits.m_connections)
    {
        ++s.m_closed;
        connection* const unused = least_used(s);
        if (unused == nullptr)
        {
            evutil_closesocket(descriptor);
            return;
        }
        drop_connection(*unused);
        // The event library closes the socket at the end of the loop's turn;
        // until then no other is accepted.
        pause_accepting(s, std::chrono::microseconds::zero());
    }
    set_no_delay(descriptor);
    // A client that gave up a silent connection can't tell this end.
    set_keep_alive(descriptor);
    const std::size_t slot = take_slot(s);
    auto made = std::make_unique<connection>();
    connection& c = *made;
    c.m_server = &s;
    c.m_slot = slot;
    c.m_used = ++s.m_last_used;
    c.m_id = s.m_slots[slot].m_generation << generation_shift | slot;
    c.m_transport.m_stream = make_server_stream(s.m_loop, descriptor, s.m_tls);
    c.m_transport.m_session =
        make_http2_session(http2_side::server, s.m_callbacks.get(), &c,
                           s.m_limits.m_streams_per_connection);
    bufferevent* stream = c.m_transport.m_stream.get();
    c.m_transport.m_direct = is_in_the_clear(stream);
    bufferevent_setcb(stream, on_readable, on_flushed, on_socket_event, &c);
    if (c.m_transport.m_direct)
        watch_input(c, descriptor);
    else
        bufferevent_enable(stream, EV_READ);
    bufferevent_enable(stream, EV_WRITE);
    s.m_slots[slot].m_connection = std::move(made);
    ++s.m_open_connections;
    pump_or_drop(c);
}

header_list status_pseudo(int status)
{
    return {{":status", std::to_string(status)}};
}

}

http2_server::http2_server(loop& l, const address& listen,
                           http2_server_limits limits,
                           http2_server_handlers handlers)
    : m_state(std::make_unique<state>(state{l,  limits, std::move(handlers),
                                            {}, {},     {},
                                            {}, {},     0,
                                            0,  0,      0,
                                            0,  {},     {},
                                            {}, {},     {},
                                            {}, 0}))
{
    m_state->m_turn_end.reset(
        event_new(l.m_base.get(), -1, 0, send_unsent, m_state.get()));
    if (!m_state->m_turn_end)
        throw loop_error();
    m_state->m_sweep = std::make_unique<timer>(l,
                                               [this]
                                               {
                                                   sweep(*m_state);
                                               });
    m_state->m_accept_pause = std::make_unique<timer>(
        l,
        [this]
        {
            if (m_state->m_listener)
                evconnlistener_enable(m_state->m_listener.get());
        });
    m_state->m_callbacks = make_server_callbacks();
    const socket_address bound = to_socket_address(listen);
    constexpr int system_backlog = -1;
    m_state->m_listener.reset(evconnlistener_new_bind(
        l.m_base.get(), on_accept, m_state.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        system_backlog, reinterpret_cast<const sockaddr*>(&bound.m_storage),
        static_cast<int>(bound.m_length)));
    if (!m_state->m_listener)
        throw loop_error();
    evconnlistener_set_error_cb(m_state->m_listener.get(), on_accept_failure);
    m_state->m_local =
        local_address(evconnlistener_get_fd(m_state->m_listener.get()));
}

http2_server::~http2_server() = default;

address http2_server::local() const
{
    return m_state->m_local;
}

void http2_server::set_tls(tls_context_ptr tls)
{
    m_state->m_tls = std::move(tls);
}

void http2_server::drop_failed(http2_failed failed)
{
    m_state->m_failed = std::move(failed);
}

bool http2_server::respond(exchange_id exchange, http2_response response)
{
    connection* c = find_connection(*m_state, exchange.m_connection);
    if (c == nullptr)
        return false;
    server_stream* stream = find_stream(*c, exchange.m_stream);
    if (stream == nullptr || stream->m_answered)
        return false;
    stream->m_answered = true;
    --m_state->m_open_exchanges;
    stream->m_body.m_bytes = std::move(response.m_body);
    count_pending(*c, *stream, stream->m_body.m_bytes.size());
    const header_list pseudo = status_pseudo(response.m_status);
    const std::vector<nghttp2_nv> fields =
        to_fields(pseudo, response.m_headers);
    const nghttp2_data_provider provider = to_provider(stream->m_body);
    const bool has_body = !stream->m_body.m_bytes.empty();
    nghttp2_submit_response(c->m_transport.m_session.get(), exchange.m_stream,
                            fields.data(), fields.size(),
                            has_body ? &provider : nullptr);
    send_answer(*c);
    return true;
}

void http2_server::stop_accepting()
{
    if (!m_state->m_listener)
        return;
    // Callers whose connections wait in the kernel's queue have connected as
    // far as they know, and may have sent requests.
    const int listening = evconnlistener_get_fd(m_state->m_listener.get());
    for (;;)
    {
        const int descriptor =
            accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0)
            break;
        on_accept(nullptr, descriptor, nullptr, 0, m_state.get());
    }
    m_state->m_listener.reset();
}

void http2_server::retire(connection_id id)
{
    connection* c = find_connection(*m_state, id);
    if (c != nullptr)
        retire_connection(*c);
}

std::vector<connection_id> http2_server::connections() const
{
    std::vector<connection_id> open;
    for (const connection_slot& slot : m_state->m_slots)
        if (slot.m_connection)
            open.push_back(slot.m_connection->m_id);
    return open;
}

void http2_server::begin_drain()
{
    stop_accepting();
    for (const connection_id id : connections())
        retire(id);
}

void http2_server::disconnect(connection_id id)
{
    connection* c = find_connection(*m_state, id);
    if (c == nullptr)
        return;
    if (c->m_transport.m_feeding)
        c->m_doomed = true;
    else
        drop_connection(*c);
}

std::size_t http2_server::open_exchanges() const noexcept
{
    return m_state->m_open_exchanges;
}

std::uint64_t http2_server::closed() const noexcept
{
    return m_state->m_closed;
}

std::uint64_t http2_server::failed() const noexcept
{
    return m_state->m_failures;
}

std::size_t http2_server::open_connections() const noexcept
{
    return m_state->m_open_connections;
}

}
