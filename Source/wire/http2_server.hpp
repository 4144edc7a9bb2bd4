#ifndef BLUEBELLSPOKE_WIRE_HTTP2_SERVER_HPP
#define BLUEBELLSPOKE_WIRE_HTTP2_SERVER_HPP

#include <cstdint>
#include <exception>
#include <memory>
#include <vector>

#include <model/address.hpp>
#include <sigc++/sigc++.h>
#include <task/loop.hpp>
#include <wire/http2_message.hpp>
#include <wire/tls_context.hpp>

namespace bluebellspoke
{

/// Names one accepted connection; never given out twice by one server.
using connection_id = std::uint64_t;

/// Names one request and the place for its response.
struct exchange_id
{
    connection_id m_connection = 0;
    std::int32_t m_stream = 0;

    friend auto operator<=>(const exchange_id&, const exchange_id&) = default;
};

struct http2_server_limits
{
    std::size_t m_connections = 4096;
    std::size_t m_streams_per_connection = 256;
    std::size_t m_body_bytes = 1U << 20U;
    /// Names and values of one request. Compressed, they are small: a client
    /// could send gigabytes in a few frames.
    std::size_t m_header_bytes = 16U << 10U;
    /// Requests that aren't complete and responses that aren't sent, of all
    /// connections; beyond it the connection with the most is closed.
    std::size_t m_pending_bytes = 64U << 20U;
};

/// A whole request. `m_oversized` says that its body passed the limit and was
/// dropped; the receiver answers with a refusal.
struct arrived_request
{
    exchange_id m_exchange;
    http2_request m_request;
    bool m_oversized = false;
};

struct http2_server_handlers
{
    sigc::slot<void(arrived_request&)> m_on_request;
    /// The caller gave up before its response.
    sigc::slot<void(exchange_id)> m_on_abandoned;
    sigc::slot<void(connection_id)> m_on_disconnect;
};

/// Receives the connection of an unexpected exception, and the exception.
using http2_failed = sigc::slot<void(connection_id, const std::exception&)>;

/// Serves HTTP/2 with prior knowledge on one loop.
class http2_server
{
public:
    /// Throws loop_error when the address can't be bound.
    http2_server(loop& l, const address& listen, http2_server_limits limits,
                 http2_server_handlers handlers);
    ~http2_server();
    http2_server(const http2_server&) = delete;
    http2_server& operator=(const http2_server&) = delete;

    /// The bound address, also when port 0 was asked for.
    address local() const;
    /// New connections speak TLS with these certificates, or none when null;
    /// open ones keep theirs.
    void set_tls(tls_context_ptr tls);
    /// From now on an exception that leaves a handler while a connection is
    /// read is passed to `failed`, and the connection is dropped, with
    /// m_on_abandoned for its requests. Without a call the exception leaves the
    /// loop.
    void drop_failed(http2_failed failed);
    /// Answers an exchange. Returns false when nobody waits for it any more.
    bool respond(exchange_id exchange, http2_response response);
    /// Accepts no more connections; those that wait to be accepted still are.
    void stop_accepting();
    /// Tells a caller to send new requests elsewhere. Those that it has sent
    /// meanwhile still arrive; then the connection ends.
    void retire(connection_id connection);
    std::vector<connection_id> connections() const;
    /// Accepts no more and retires every connection.
    void begin_drain();
    /// Closes one connection at once.
    void disconnect(connection_id connection);
    /// Requests that wait for their response.
    std::size_t open_exchanges() const noexcept;
    std::size_t open_connections() const noexcept;
    /// Connections closed because of a limit.
    std::uint64_t closed() const noexcept;
    /// Connections dropped after an exception.
    std::uint64_t failed() const noexcept;

    struct state;

private:
    std::unique_ptr<state> m_state;
};

}

#endif
