#ifndef BLUEBELLSPOKE_SESSION_SESSION_CODEC_HPP
#define BLUEBELLSPOKE_SESSION_SESSION_CODEC_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <model/endpoint_status.hpp>
#include <model/log_position.hpp>

namespace bluebellspoke
{

/// Where a session stands between two statements.
enum class transaction_status : std::uint8_t
{
    idle,
    open,
    failed, ///< Only its end is taken.
};

enum class statement_kind : std::uint8_t
{
    unknown,
    begin,
    begin_read,
    commit,
    rollback,
    read,
    write,
    set,
    prepare_read,
    prepare_write,
    execute,
    deallocate,
};

/// A statement; all views point into the line that it came in.
struct session_statement
{
    statement_kind m_kind = statement_kind::unknown;
    std::string_view m_text;  ///< As the caller sent it.
    std::string_view m_name;  ///< Of a value or a prepared statement.
    std::string_view m_value; ///< Of a value; the shape of a prepared one.
    std::string_view m_rest;  ///< Of EXECUTE, from the item on.
};

enum class caller_message_kind : std::uint8_t
{
    malformed,
    startup,
    query,
    terminate,
};

struct caller_message
{
    caller_message_kind m_kind = caller_message_kind::malformed;
    std::string_view m_database;
    std::string_view m_key;
    std::string_view m_id;
    session_statement m_statement;
};

/// Why a statement failed, as callers and endpoints say it.
enum class session_fault : std::uint8_t
{
    other, ///< A code that isn't known here.
    no_database,
    unauthorized,
    busy,
    aborted,
    lagging,
    readonly,
    misrouted,
    too_many,
    no_statement,
    unknown_outcome,
    timed_out,
    failed,
    malformed,
};

std::string_view to_string(session_fault fault) noexcept;
/// True when the fault promises that nothing was kept of what the caller sent.
bool promises_nothing_kept(session_fault fault) noexcept;

enum class endpoint_reply_kind : std::uint8_t
{
    malformed,
    ready,
    row,
    complete,
    error,
};

struct endpoint_reply
{
    endpoint_reply_kind m_kind = endpoint_reply_kind::malformed;
    transaction_status m_state = transaction_status::idle;
    std::optional<log_position> m_position;
    std::string_view m_row;
    session_fault m_fault = session_fault::other;
    std::string_view m_detail; ///< Of an error.
};

/// Orders that change an endpoint's part in its group.
enum class group_order : std::uint8_t
{
    status,
    pause,     ///< Stop receiving, for a term above the newest.
    resume,    ///< Receive again.
    step_down, ///< Be a replica, for a term above one's own.
};

/// How sessions are spoken: a front end gives its own set of functions.
struct session_codec
{
    caller_message (*m_read_caller)(std::string_view line);
    endpoint_reply (*m_read_endpoint)(std::string_view line);
    std::optional<endpoint_status> (*m_read_status)(std::string_view row);

    void (*m_write_ready)(std::string& out, transaction_status state);
    void (*m_write_complete)(std::string& out);
    void (*m_write_error)(std::string& out, session_fault fault,
                          std::string_view detail);

    void (*m_write_startup)(std::string& out, std::string_view service,
                            std::string_view workspace, std::string_view id);
    /// An empty id: the statement is the system's own.
    void (*m_write_query)(std::string& out, std::string_view id,
                          const std::optional<log_position>& after,
                          std::string_view text);
    void (*m_write_begin)(std::string& out,
                          const std::optional<log_position>& after,
                          bool reads_only);
    void (*m_write_rollback)(std::string& out);
    void (*m_write_set)(std::string& out, std::string_view name,
                        std::string_view value);
    void (*m_write_prepare)(std::string& out, std::string_view name,
                            bool writes, std::string_view shape);
    /// EXECUTE under another name.
    void (*m_write_execute)(std::string& out, std::string_view id,
                            const std::optional<log_position>& after,
                            std::string_view name, std::string_view rest);
    void (*m_write_discard)(std::string& out);
    void (*m_write_order)(std::string& out, group_order order,
                          term_number term);
};

/// The longest line that either side may send, in bytes.
inline constexpr std::size_t longest_line = 1U << 20U;

}

#endif
