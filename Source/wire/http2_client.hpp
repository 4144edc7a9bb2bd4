#ifndef BLUEBELLSPOKE_WIRE_HTTP2_CLIENT_HPP
#define BLUEBELLSPOKE_WIRE_HTTP2_CLIENT_HPP

#include <cstdint>
#include <exception>
#include <memory>
#include <variant>

#include <model/address.hpp>
#include <model/clock.hpp>
#include <sigc++/sigc++.h>
#include <task/loop.hpp>
#include <wire/http2_message.hpp>
#include <wire/tls_context.hpp>

namespace bluebellspoke
{

/// Why a request got no response.
enum class http2_failure : std::uint8_t
{
    not_sent,        ///< No connection stood, so nothing left this process.
    connection_lost, ///< Sent perhaps; the response will not come.
    timed_out,       ///< Sent perhaps; the time limit passed.
};

std::string_view to_string(http2_failure failure) noexcept;

using http2_result = std::variant<http2_response, http2_failure>;
using http2_done = sigc::slot<void(http2_result&)>;
/// Receives an unexpected exception.
using http2_client_failed = sigc::slot<void(const std::exception&)>;

/// A client of one server: one connection, many requests at once. It connects
/// when there is something to send, and again after a loss. A connection on
/// which nothing arrives while a request times out is lost too, unless it
/// answers a PING.
class http2_client
{
public:
    /// Speaks TLS when there is a context. Throws http2_error.
    http2_client(loop& l, address server, tls_context_ptr tls = {});
    ~http2_client();
    http2_client(const http2_client&) = delete;
    http2_client& operator=(const http2_client&) = delete;

    /// Calls `done` exactly once, from the loop, unless the client is
    /// destroyed first.
    void send(http2_request request, duration time_limit, http2_done done);
    /// The next connection uses these certificates; an open one keeps its own.
    void set_tls(tls_context_ptr tls);
    /// From now on an exception while a response is received, such as want of
    /// memory, is passed to `failed`, and the connection is dropped. Without a
    /// call, and in `done`, it leaves the loop.
    void drop_failed(http2_client_failed failed);
    const address& server() const noexcept;
    bool connected() const noexcept;
    /// Drops the connection; requests under way end as connection_lost.
    void reset();

    struct state;

private:
    std::unique_ptr<state> m_state;
};

}

#endif
