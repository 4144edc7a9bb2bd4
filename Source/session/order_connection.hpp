#ifndef BLUEBELLSPOKE_SESSION_ORDER_CONNECTION_HPP
#define BLUEBELLSPOKE_SESSION_ORDER_CONNECTION_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <model/site.hpp>
#include <session/line_stream.hpp>
#include <session/session_codec.hpp>

namespace bluebellspoke
{

/// Receives the endpoint's status after the order, or nullopt if it refused the
/// order or didn't answer.
using order_callback =
    std::function<void(const std::optional<endpoint_status>&)>;

/// A connection to one endpoint that carries orders such as pause, resume and
/// step down.
class order_connection
{
public:
    /// Starts to connect. Throws loop_error, address_error.
    order_connection(loop& l, const session_codec& codec,
                     const site_endpoint& endpoint,
                     const std::string& workspace);
    /// Resets the connection if an order is unanswered: it must not reach the
    /// endpoint after orders on a later connection.
    ~order_connection();
    order_connection(const order_connection&) = delete;
    order_connection& operator=(const order_connection&) = delete;

    /// Sends an order. Calls `done` once, within `limit`, unless the connection
    /// is destroyed first. Only one order may be pending at a time.
    void send(group_order order, term_number term, duration limit,
              order_callback done);
    /// Returns false once the connection has ended or an order has timed out.
    bool is_open() const noexcept;

private:
    void time_out();
    void read();
    void handle_reply(const endpoint_reply& r);
    void finish(const std::optional<endpoint_status>& status);

    const session_codec& m_codec;
    timer m_timeout;
    std::unique_ptr<line_stream> m_stream;
    bool m_is_ready = false;
    bool m_open = true;
    std::string
        m_pending_order; ///< Sent when the endpoint reports that it is ready.
    std::string m_status_row;
    bool m_failed = false;
    order_callback m_callback;
};

}

#endif
