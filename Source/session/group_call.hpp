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

/// The endpoint's status after the order; nothing: no answer, or a refusal.
using group_call_done =
    std::function<void(const std::optional<endpoint_status>&)>;

/// A connection to one endpoint that carries orders for its group.
class group_call
{
public:
    /// Dials. Throws loop_error, address_error.
    group_call(loop& l, const session_codec& codec,
               const site_endpoint& endpoint, const std::string& workspace);

    /// Calls `done` once, within `limit`, unless the call is destroyed first.
    /// One order at a time.
    void send(group_order order, term_number term, duration limit,
              group_call_done done);
    /// False once the connection is over.
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
    std::string m_queued; ///< Sent once the endpoint has greeted.
    std::string m_row;
    bool m_failed = false;
    group_call_done m_done;
};

}

#endif
