#ifndef BLUEBELLSPOKE_SESSION_GROUP_CALL_HPP
#define BLUEBELLSPOKE_SESSION_GROUP_CALL_HPP

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
using group_call_done =
    std::function<void(const std::optional<endpoint_status>&)>;

/// A connection to one endpoint that carries orders such as pause, resume and
/// step down.
class group_call
{
public:
    /// Starts to connect. Throws loop_error, address_error.
    group_call(loop& l, const session_codec& codec,
               const site_endpoint& endpoint, const std::string& workspace);

    /// Sends an order. Calls `done` once, within `limit`, unless the connection
    /// is destroyed first. Only one order may be pending at a time.
    void send(group_order order, term_number term, duration limit,
              group_call_done done);
    /// Returns false once the connection has ended or an order has timed out.
    bool is_open() const noexcept;

private:
    void read();
    void take(const endpoint_reply& r);
    void finish(const std::optional<endpoint_status>& status);

    const session_codec& m_codec;
    timer m_limit;
    std::unique_ptr<line_stream> m_stream;
    bool m_greeted = false;
    bool m_open = true;
    std::string m_queued; ///< Sent when the endpoint reports that it is ready.
    std::string m_row;
    bool m_failed = false;
    group_call_done m_done;
};

}

#endif
