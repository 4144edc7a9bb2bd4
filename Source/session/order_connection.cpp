#include <session/order_connection.hpp>

#include <utility>

namespace bluebellspoke
{

order_connection::order_connection(loop& l, const session_codec& codec,
                                   const site_endpoint& endpoint,
                                   const std::string& workspace)
    : m_codec(codec), m_timeout(l,
                                [this]
                                {
                                    time_out();
                                })
{
    m_stream = std::make_unique<line_stream>(
        l, endpoint.m_address,
        line_stream_handlers{[this]
                             {
                                 read();
                             },
                             [this](stream_end_reason)
                             {
                                 m_open = false;
                                 finish(std::nullopt);
                             }});
    std::string out;
    codec.m_write_startup(out, endpoint.m_service, workspace, endpoint.m_id);
    m_stream->write(out);
}

order_connection::~order_connection()
{
    if (m_callback && m_stream)
        m_stream->reset_at_end();
}

void order_connection::send(group_order order, term_number term, duration limit,
                            order_callback done)
{
    m_callback = std::move(done);
    m_status_row.clear();
    m_failed = false;
    std::string out;
    m_codec.m_write_order(out, order, term);
    if (m_is_ready)
        m_stream->write(out);
    else
        m_pending_order = std::move(out);
    m_timeout.start_once(
        std::chrono::duration_cast<std::chrono::microseconds>(limit));
}

bool order_connection::is_open() const noexcept
{
    return m_open;
}

void order_connection::time_out()
{
    m_open = false;
    m_stream->reset_at_end();
    m_stream.reset();
    finish(std::nullopt);
}

void order_connection::read()
{
    while (m_open)
    {
        const auto line = m_stream->next_line();
        if (!line)
            return;
        handle_reply(m_codec.m_read_endpoint(*line));
    }
}

void order_connection::handle_reply(const endpoint_reply& r)
{
    switch (r.m_kind)
    {
    case endpoint_reply_kind::row:
        m_status_row = r.m_row;
        return;
    case endpoint_reply_kind::error:
        m_failed = true;
        if (m_is_ready)
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
    if (!std::exchange(m_is_ready, true))
    {
        m_stream->write(std::exchange(m_pending_order, {}));
        return;
    }
    finish(m_failed ? std::nullopt : m_codec.m_read_status(m_status_row));
}

void order_connection::finish(const std::optional<endpoint_status>& status)
{
    m_timeout.cancel();
    // The callback may send the next order, or destroy this connection.
    const order_callback done = std::exchange(m_callback, nullptr);
    if (done)
        done(status);
}

}
