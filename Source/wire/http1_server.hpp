#ifndef BLUEBELLSPOKE_WIRE_HTTP1_SERVER_HPP
#define BLUEBELLSPOKE_WIRE_HTTP1_SERVER_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <model/address.hpp>
#include <sigc++/sigc++.h>
#include <task/loop.hpp>

namespace bluebellspoke
{

struct http1_server_limits
{
    /// Open connections. One more closes the oldest: a prober or scraper sends
    /// its request at once, so the oldest is the least likely to be one.
    std::size_t m_connections = 32;
    std::size_t m_header_bytes = 8192;
    /// How long a connection may exist, in which it gets one answer.
    std::chrono::seconds m_lifetime{5};
};

/// A GET request that waits for its answer.
struct arrived_http1_request
{
    std::uint64_t m_exchange = 0; ///< Never given out twice by one server.
    std::string m_path;
};

struct http1_answer
{
    int m_status = 0;
    std::string_view m_reason;
    std::string_view m_body;
};

/// Answers one GET a connection, in text. The event library's HTTP server
/// bounds neither the connections nor their age.
class http1_server
{
public:
    /// Throws loop_error when the address can't be bound.
    http1_server(loop& l, const address& listen, http1_server_limits limits,
                 sigc::slot<void(const arrived_http1_request&)> on_request);
    ~http1_server();
    http1_server(const http1_server&) = delete;
    http1_server& operator=(const http1_server&) = delete;

    /// Answers an exchange. Returns false when its connection has ended.
    bool respond(std::uint64_t exchange, const http1_answer& response);
    /// Connections closed because of a limit.
    std::uint64_t closed() const noexcept;

    struct state;

private:
    std::unique_ptr<state> m_state;
};

}

#endif
