#ifndef BLUEBELLSPOKE_SESSION_LINE_STREAM_HPP
#define BLUEBELLSPOKE_SESSION_LINE_STREAM_HPP

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <event2/bufferevent.h>

#include <model/address.hpp>
#include <sigc++/sigc++.h>
#include <task/loop.hpp>

namespace bluebellspoke
{

/// Reason why a line_stream ended.
enum class stream_end_reason : std::uint8_t
{
    closed,        ///< The peer closed or reset the connection.
    line_too_long, ///< A line exceeded max_line_length.
};

struct line_stream_handlers
{
    /// Bytes arrived. The handler calls next_line until it returns nullopt.
    sigc::slot<void()> m_on_readable;
    /// The stream ended. No more data can be read from it.
    sigc::slot<void(stream_end_reason)> m_on_end;
    /// All queued bytes were passed to the kernel. May be empty.
    sigc::slot<void()> m_on_sent{};
};

/// A TCP connection that carries lines terminated by CR LF.
class line_stream
{
public:
    /// Takes ownership of a connected socket. Throws loop_error.
    line_stream(loop& l, evutil_socket_t connected,
                line_stream_handlers handlers);
    /// Starts to connect. A failure is reported through m_on_end.
    /// Throws loop_error, address_error.
    line_stream(loop& l, const address& server, line_stream_handlers handlers);
    line_stream(const line_stream&) = delete;
    line_stream& operator=(const line_stream&) = delete;

    /// Returns the next complete line without its CR LF, valid until the next
    /// call, or nullopt if none has arrived.
    std::optional<std::string_view> next_line();
    /// Frees the line that next_line() returned last.
    void drop_line() noexcept;
    /// Reads no more from the socket while this many bytes are unread. Without
    /// a call, a line of max_line_length fits.
    void set_read_limit(std::size_t bytes);
    /// Queues bytes. They are sent as fast as the peer reads them.
    void write(std::string_view bytes);
    /// Number of queued bytes that have not been passed to the kernel yet.
    std::size_t unsent() const noexcept;
    /// Number of received bytes that next_line() has not returned yet.
    std::size_t unread() const noexcept;
    /// Makes the end of this object reset the connection, so that bytes on
    /// their way to the peer are dropped.
    void reset_at_end() noexcept;
    /// Shuts down the sending side once the queued bytes are sent. The caller
    /// destroys the stream when m_on_end is called.
    void finish();

private:
    struct bufferevent_deleter
    {
        void operator()(bufferevent* b) const noexcept;
    };

    void attach();
    void resume_reading();
    static void on_read(bufferevent* b, void* context);
    static void on_written(bufferevent* b, void* context);
    static void on_event(bufferevent* b, short what, void* context);

    line_stream_handlers m_handlers;
    std::unique_ptr<bufferevent, bufferevent_deleter> m_buffer;
    std::string m_line;
    std::size_t m_read_limit = 0;
    bool m_reads = true;        ///< False at m_read_limit.
    std::size_t m_searched = 0; ///< Unread bytes without a line's end.
    bool m_finishing = false;
};

}

#endif
