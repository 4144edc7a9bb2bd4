#include <session/group_call.hpp>

#include <utility>

namespace bluebellspoke
{

group_call::group_call(loop& l, const session_codec& codec,
                       const site_endpoint& endpoint,
                       const std::string& workspace)
    : m_codec(codec), m_limit(l,
                              [this]
                              {
                                  m_open = false;
                                  finish(std::nullopt);
                              })
{
    m_stream = std::make_unique<line_stream>(
        l, endpoint.m_address,
        line_stream_handlers{[this]
                             {
                                 read();
                             },
                             [this](stream_end)
                             {
                                 m_open = false;
                                 finish(std::nullopt);
                             }});
    std::string out;
    codec.m_write_startup(out, endpoint.m_service, workspace, endpoint.m_id);
    m_stream->write(out);
}

void group_call::send(group_order order, term_number term, duration limit,
                      group_call_done done)
{
    m_done = std::move(done);
    m_row.clear();
    m_failed = false;
    std::string out;
    m_codec.m_write_order(out, order, term);
    if (m_greeted)
        m_stream->write(out);
    else
        m_queued = std::move(out);
    m_limit.start_once(
        std::chrono::duration_cast<std::chrono::microseconds>(limit));
}

bool group_call::is_open() const noexcept
{
    return m_open;
}

void group_call::read()
{
    while (m_open)
    {
        const auto line = m_stream->next_line();
        if (!line)
            return;
        take(m_codec.m_read_endpoint(*line));
    }
}

void group_call::take(const endpoint_reply& r)
{
    switch (r.m_kind)
    {
    case endpoint_reply_kind::row:
        m_row = r.m_row;
        return;
    case endpoint_reply_kind::error:
        m_failed = true;
        if (m_greeted)
            return;
        m_open = false;
        return finish(std::nullopt);
    case endpoint_reply_kind::complete:
        return;
    case endpoint_reply_kind::malformed:
        m_open = false;
        return finish(std::nullopt);
    case endpoint_reply_kind::ready:
        break;
    }
    if (!std::exchange(m_greeted, true))
    {
        m_stream->write(std::exchange(m_queued, {}));
        return;
    }
    finish(m_failed ? std::nullopt : m_codec.m_read_status(m_row));
}

void group_call::finish(const std::optional<endpoint_status>& status)
{
    m_limit.cancel();
    // The callback may send the next order, or destroy this connection.
    const group_call_done done = std::exchange(m_done, nullptr);
    if (done)
        done(status);
}

}
