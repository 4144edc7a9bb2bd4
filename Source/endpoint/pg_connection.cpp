#include <endpoint/pg_connection.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace bluebellspoke
{

namespace
{

constexpr std::array<std::string_view, 4> state_names{"connecting", "idle",
                                                      "busy", "closed"};
constexpr std::array<std::string_view, 5> event_names{
    "connected", "submitted", "answered", "failed", "close_requested"};
constexpr std::array<std::string_view, 4> action_names{
    "announce_ready", "deliver", "deliver_lost", "announce_closed"};

constexpr std::chrono::seconds connect_time_limit{2};

result_table to_table(const PGresult* result)
{
    result_table table;
    const int columns = PQnfields(result);
    const int rows = PQntuples(result);
    table.m_columns.reserve(static_cast<std::size_t>(columns));
    for (int c = 0; c < columns; ++c)
        table.m_columns.emplace_back(PQfname(result, c));
    table.m_rows.reserve(static_cast<std::size_t>(rows));
    for (int r = 0; r < rows; ++r)
    {
        auto& row = table.m_rows.emplace_back();
        row.reserve(static_cast<std::size_t>(columns));
        for (int c = 0; c < columns; ++c)
        {
            if (PQgetisnull(result, r, c) != 0)
                row.emplace_back();
            else
                row.emplace_back(std::string(
                    PQgetvalue(result, r, c),
                    static_cast<std::size_t>(PQgetlength(result, r, c))));
        }
    }
    const std::string_view affected =
        PQcmdTuples(const_cast<PGresult*>(result));
    std::from_chars(affected.data(), affected.data() + affected.size(),
                    table.m_affected);
    return table;
}

// A process that is paused or cut off can't close its connections; the endpoint
// does.
std::string silence_options(std::chrono::milliseconds bound)
{
    const std::string ms = std::to_string(bound.count());
    return "-c idle_session_timeout=" + ms +
           " -c idle_in_transaction_session_timeout=" + ms;
}

pg_error to_error(const PGresult* result)
{
    const char* state = PQresultErrorField(result, PG_DIAG_SQLSTATE);
    const char* message = PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);
    return {state != nullptr ? state : "", message != nullptr ? message : ""};
}

}

connection_chart load_connection_chart(const std::filesystem::path& folder)
{
    return {load_chart(folder,
                       {"connection", state_names, event_names, action_names})};
}

void pg_connection::pg_deleter::operator()(PGconn* c) const noexcept
{
    PQfinish(c);
}

pg_connection::pg_connection(loop& l, const connection_chart& chart,
                             const pg_target& target, pg_handlers handlers)
    : m_loop(l), m_chart(chart), m_target(target),
      m_handlers(std::move(handlers)), m_state(chart.initial()),
      m_connect_limit(l,
                      [this]
                      {
                          fire(connection_event::failed);
                      })
{
}

pg_connection::~pg_connection()
{
    m_event.reset();
}

void pg_connection::open()
{
    const std::string port = std::to_string(m_target.m_address.m_port);
    const std::string options = silence_options(m_target.m_silence_bound);
    const std::array<const char*, 9> keywords{
        "hostaddr", "port",       "user",    "dbname",
        "sslmode",  "gssencmode", "options", "application_name",
        nullptr};
    const std::array<const char*, 9> values{m_target.m_address.m_host.c_str(),
                                            port.c_str(),
                                            m_target.m_user.c_str(),
                                            m_target.m_database.c_str(),
                                            "disable",
                                            "disable",
                                            options.c_str(),
                                            "bluebellspoke",
                                            nullptr};
    m_connection.reset(PQconnectStartParams(keywords.data(), values.data(), 0));
    if (!m_connection || PQstatus(m_connection.get()) == CONNECTION_BAD)
    {
        // Reported from the loop: the owner is still holding its own state.
        m_connect_limit.start_once(std::chrono::microseconds::zero());
        return;
    }
    m_connect_limit.start_once(connect_time_limit);
    watch(EV_WRITE);
}

bool pg_connection::submit(const std::string& text, pg_done done)
{
    if (m_state != connection_state::idle)
        return false;
    m_reply = {};
    m_done = std::move(done);
    fire(connection_event::submitted);
    if (PQsendQuery(m_connection.get(), text.c_str()) == 0)
    {
        m_connect_limit.start_once(std::chrono::microseconds::zero());
        return true;
    }
    flush();
    return true;
}

void pg_connection::close()
{
    fire(connection_event::close_requested);
}

connection_state pg_connection::state() const noexcept
{
    return m_state;
}

bool pg_connection::in_transaction() const noexcept
{
    return m_connection &&
           PQtransactionStatus(m_connection.get()) != PQTRANS_IDLE;
}

void pg_connection::on_socket(evutil_socket_t, short what, void* self)
{
    auto& c = *static_cast<pg_connection*>(self);
    if (c.m_state == connection_state::connecting)
    {
        c.continue_connecting();
        return;
    }
    if ((what & EV_WRITE) != 0)
        c.flush();
    if ((what & EV_READ) != 0 && c.m_state != connection_state::closed)
        c.read_replies();
}

void pg_connection::watch(short what)
{
    m_event.reset(event_new(m_loop.m_base.get(), PQsocket(m_connection.get()),
                            static_cast<short>(what | EV_PERSIST),
                            &pg_connection::on_socket, this));
    if (!m_event)
        throw loop_error();
    event_add(m_event.get(), nullptr);
}

void pg_connection::continue_connecting()
{
    switch (PQconnectPoll(m_connection.get()))
    {
    case PGRES_POLLING_READING:
        watch(EV_READ);
        break;
    case PGRES_POLLING_WRITING:
        watch(EV_WRITE);
        break;
    case PGRES_POLLING_OK:
        m_connect_limit.cancel();
        PQsetnonblocking(m_connection.get(), 1);
        watch(EV_READ);
        fire(connection_event::connected);
        break;
    case PGRES_POLLING_FAILED:
    default:
        fire(connection_event::failed);
        break;
    }
}

void pg_connection::flush()
{
    const int left = PQflush(m_connection.get());
    if (left < 0)
        m_connect_limit.start_once(std::chrono::microseconds::zero());
    else if (left > 0)
        watch(EV_READ | EV_WRITE);
    else if ((event_get_events(m_event.get()) & EV_WRITE) != 0)
        watch(EV_READ);
}

void pg_connection::read_replies()
{
    if (PQconsumeInput(m_connection.get()) == 0)
    {
        fire(connection_event::failed);
        return;
    }
    while (PQisBusy(m_connection.get()) == 0)
    {
        PGresult* result = PQgetResult(m_connection.get());
        if (result == nullptr)
        {
            if (m_state == connection_state::busy)
                fire(connection_event::answered);
            return;
        }
        const ExecStatusType status = PQresultStatus(result);
        if (status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK ||
            status == PGRES_EMPTY_QUERY)
        {
            m_reply.m_tables.push_back(to_table(result));
            m_reply.m_rolled_back |=
                std::string_view(PQcmdStatus(result)) == "ROLLBACK";
        }
        else
            m_reply.m_error = to_error(result);
        PQclear(result);
        if (PQstatus(m_connection.get()) == CONNECTION_BAD)
        {
            fire(connection_event::failed);
            return;
        }
    }
}

void pg_connection::fire(connection_event event)
{
    m_chart.fire(m_state, event,
                 [this](connection_action action)
                 {
                     act(action);
                 });
}

void pg_connection::act(connection_action action)
{
    // The owner may submit again from inside its callback, so the callback
    // and the reply are moved out first. announce_closed comes last.
    switch (action)
    {
    case connection_action::announce_ready:
        m_handlers.m_on_ready();
        break;
    case connection_action::deliver:
    {
        pg_reply reply = std::exchange(m_reply, {});
        const pg_done done = std::exchange(m_done, {});
        done(reply);
        break;
    }
    case connection_action::deliver_lost:
    {
        pg_reply reply;
        reply.m_lost = true;
        const pg_done done = std::exchange(m_done, {});
        done(reply);
        break;
    }
    case connection_action::announce_closed:
        m_connect_limit.cancel();
        m_event.reset();
        m_connection.reset();
        m_handlers.m_on_closed();
        break;
    }
}

}
