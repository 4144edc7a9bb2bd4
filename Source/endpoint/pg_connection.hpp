#ifndef BLUEBELLSPOKE_ENDPOINT_PG_CONNECTION_HPP
#define BLUEBELLSPOKE_ENDPOINT_PG_CONNECTION_HPP

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <chart/chart.hpp>
#include <libpq-fe.h>
#include <model/address.hpp>
#include <model/statement.hpp>
#include <sigc++/sigc++.h>
#include <task/loop.hpp>

namespace bluebellspoke
{

enum class connection_state : std::uint8_t
{
    connecting,
    idle,
    busy,
    closed,
};

enum class connection_event : std::uint8_t
{
    connected,
    submitted,
    answered,
    failed,
    close_requested,
};

enum class connection_action : std::uint8_t
{
    announce_ready,
    deliver,
    deliver_lost,
    announce_closed,
};

using connection_chart =
    typed_chart<connection_state, connection_event, connection_action>;

/// Reads connection.scxml. Throws chart_error.
connection_chart load_connection_chart(const std::filesystem::path& folder);

/// An error that the endpoint answered.
struct pg_error
{
    std::string m_sqlstate;
    std::string m_message;
};

/// What came back for one query string.
struct pg_reply
{
    std::vector<result_table> m_tables; ///< One for each statement that ran.
    std::optional<pg_error> m_error;
    bool m_rolled_back = false; ///< A commit or rollback undid the transaction.
    bool m_lost = false;        ///< The connection ended first; nobody knows.
};

struct pg_target
{
    address m_address;
    std::string m_user = "bluebellspoke";
    std::string m_database = "bluebellspoke";
    /// The endpoint ends the connection when it has been idle for longer.
    std::chrono::milliseconds m_silence_bound{2000};
};

struct pg_handlers
{
    sigc::slot<void()> m_on_ready;
    /// The connection is over; called last, and only once.
    sigc::slot<void()> m_on_closed;
};

using pg_done = sigc::slot<void(pg_reply&)>;

/// One connection to one endpoint: a query at a time, on the owner's loop.
class pg_connection
{
public:
    pg_connection(loop& l, const connection_chart& chart,
                  const pg_target& target, pg_handlers handlers);
    ~pg_connection();
    pg_connection(const pg_connection&) = delete;
    pg_connection& operator=(const pg_connection&) = delete;

    /// Starts connecting; the handlers tell how it went.
    void open();
    /// Hands a query string over. Returns false when the connection isn't
    /// idle, and then nothing was handed over. Calls `done` exactly once.
    bool submit(const std::string& text, pg_done done);
    /// Ends the connection; a query under way counts as lost.
    void close();

    connection_state state() const noexcept;
    /// True when the endpoint has an open transaction on it.
    bool in_transaction() const noexcept;

private:
    struct pg_deleter
    {
        void operator()(PGconn* c) const noexcept;
    };

    static void on_socket(evutil_socket_t socket, short what, void* self);
    void watch(short what);
    void continue_connecting();
    void read_replies();
    void flush();
    void fire(connection_event event);
    void act(connection_action action);

    loop& m_loop;
    const connection_chart& m_chart;
    pg_target m_target;
    pg_handlers m_handlers;
    connection_state m_state;
    std::unique_ptr<PGconn, pg_deleter> m_connection;
    event_ptr m_event;
    timer m_connect_limit;
    pg_reply m_reply;
    pg_done m_done;
};

}

#endif
