#ifndef BLUEBELLSPOKE_STANDIN_ENDPOINT_SESSION_HPP
#define BLUEBELLSPOKE_STANDIN_ENDPOINT_SESSION_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <event2/buffer.h>
#include <nlohmann/json.hpp>

#include <standin/endpoint_server.hpp>

namespace bluebellspoke::standin
{

/// The first byte of a replication connection.
inline constexpr char replication_mark = 'R';

struct endpoint_session;

/// Ends a session that has been idle for too long.
void end_silent(endpoint_session& c);

/// One caller's connection.
struct endpoint_session
{
    explicit endpoint_session(endpoint_server& s)
        : m_server(s), m_timer(s.m_loop,
                               [this]
                               {
                                   m_elapsed();
                               }),
          m_silence(s.m_loop,
                    [this]
                    {
                        end_silent(*this);
                    })
    {
    }

    endpoint_server& m_server;
    bufferevent_ptr m_stream;
    bool m_started = false;
    bool m_busy = false; ///< In the middle of a query string.
    bool m_closing = false;
    bool m_has_slot = false;
    bool m_in_transaction = false;
    bool m_read_only = false;
    bool m_failed = false; ///< Its transaction met an error.
    std::vector<sql_change> m_changes;
    std::unique_ptr<sql_data> m_view; ///< Data as its transaction sees it.
    std::uint64_t m_begin_fence = 0;
    std::deque<std::string> m_statements;
    std::string m_out;
    timer m_timer;
    sigc::slot<void()> m_elapsed;
    std::chrono::milliseconds m_silence_bound{}; ///< 0: none.
    timer m_silence;                             ///< While it is idle.
};

/// A replication connection; JSON lines after one mark byte.
struct replica_link
{
    explicit replica_link(endpoint_server& s)
        : m_server(s), m_take(s.m_loop,
                              [this]
                              {
                                  m_due();
                              }),
          m_retry(s.m_loop,
                  [this]
                  {
                      m_again();
                  })
    {
    }

    endpoint_server& m_server;
    bufferevent_ptr m_stream;
    std::uint64_t m_sent = 0; ///< Upstream's side: entries sent.
    std::uint64_t m_term = 0; ///< In which it follows.
    std::deque<std::pair<time_point, nlohmann::json>> m_arrived;
    timer m_take;
    timer m_retry;
    sigc::slot<void()> m_due;
    sigc::slot<void()> m_again;
};

std::uint64_t last_term(const endpoint_server& s);
bool leads(const endpoint_server& s);

// endpoint_replication.cpp
/// Sends what the log has and a replica lacks.
void ship_all(endpoint_server& s);
/// Adds an entry to the log.
void keep_entry(endpoint_server& s, log_entry entry);
/// Adds an entry to the log, ships it, and wakes who waits for it.
void append_entry(endpoint_server& s, log_entry entry);
/// Ends the waits that the log or the fence has reached.
void wake_waits(endpoint_server& s);
/// Replicates from a primary, again and again after a loss.
void follow(endpoint_server& s, std::uint64_t term,
            const std::string& upstream);
/// Makes a caller's connection a replica's.
void begin_downstream(endpoint_session& c);
/// Tells the replicas that nothing is new, so that they know their age.
void beat(endpoint_server& s);
/// Parts the endpoint from all others, though callers still reach it.
void cut_replication(endpoint_server& s);
void heal_replication(endpoint_server& s);

// endpoint_statements.cpp
/// From now on the session is silent.
void note_idle(endpoint_session& c);
/// Hands what the session has to say to its socket.
void send(endpoint_session& c);
/// Goes on with the session's query string, and ends it.
void run_next(endpoint_session& c);
/// Answers an await().
void finish_wait(position_wait wait);
/// Lets sessions run that wait for a slot.
void give_slots(endpoint_server& s);

}

#endif
