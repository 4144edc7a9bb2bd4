#ifndef BLUEBELLSPOKE_SESSION_SESSION_CODEC_HPP
#define BLUEBELLSPOKE_SESSION_SESSION_CODEC_HPP

#include <cstdint>
#include <exception>
#include <optional>
#include <string>
#include <string_view>

#include <model/endpoint_status.hpp>
#include <model/log_position.hpp>

namespace bluebellspoke
{

/// Transaction state of a session between two statements.
enum class transaction_status : std::uint8_t
{
    idle,
    open,
    failed, ///< Only COMMIT and ROLLBACK are accepted.
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

/// A parsed statement; its views point into the line that was parsed.
struct session_statement
{
    statement_kind m_kind = statement_kind::unknown;
    std::string_view m_text;      ///< Text as sent by the caller.
    std::string_view m_name;      ///< Name of a value or a prepared statement.
    std::string_view m_value;     ///< Value, or shape of a prepared statement.
    std::string_view m_arguments; ///< Arguments of EXECUTE, from the item on.
};

enum class caller_message_kind : std::uint8_t
{
    malformed,
    startup,
    query,
    terminate,
    resume, ///< Of a process that passes a session on.
    setup,  ///< A statement of such a process itself, without an id.
};

struct caller_message
{
    caller_message_kind m_kind = caller_message_kind::malformed;
    std::string_view m_database;
    std::string_view m_key;
    std::string_view m_id;
    session_statement m_statement;
    std::string_view m_process; ///< The process that resumes a session.
    std::optional<log_position> m_position; ///< The session's last commit.
    /// Version of the configuration that the accepting process applied.
    std::uint64_t m_config_version = 0;
};

/// Error codes of the session protocol.
enum class session_fault : std::uint8_t
{
    other, ///< Any unknown code.
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
/// True if the error guarantees that the caller's statement or transaction had
/// no effect.
bool guarantees_no_effect(session_fault fault) noexcept;

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
    std::string_view m_detail; ///< Text of an error.
};

/// Orders that query or change an endpoint's role in its group.
enum class group_order : std::uint8_t
{
    status,
    pause,     ///< Stop replication, for a term above the newest.
    resume,    ///< Resume replication.
    step_down, ///< Become a replica, for a term above its own.
};

/// Thrown for a field that can't be written into its line: an empty word, or
/// one with a separator in it.
class line_field_error : public std::exception
{
public:
    const char* what() const noexcept override;
};

/// Encoding of the session protocol. The writers throw line_field_error, and
/// append nothing then. What a reader returns can be written. Each front end
/// supplies its own functions, so that the code that decides doesn't depend on
/// the encoding.
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
    /// The id is empty for statements that no caller sent.
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
    /// Writes EXECUTE with the name that the statement has at the endpoint.
    void (*m_write_execute)(std::string& out, std::string_view id,
                            const std::optional<log_position>& after,
                            std::string_view name, std::string_view rest);
    void (*m_write_discard)(std::string& out);
    void (*m_write_order)(std::string& out, group_order order,
                          term_number term);

    /// Between the process that accepted a session and its home. The session's
    /// number at the accepting process is the id of `resume`.
    void (*m_write_session)(std::string& out, std::string_view database,
                            std::string_view key);
    void (*m_write_resume)(std::string& out, std::string_view process,
                           std::string_view session,
                           const std::optional<log_position>& position,
                           std::uint64_t config_version);
    /// As m_write_ready, with the position of the session's last commit.
    void (*m_write_position)(std::string& out, transaction_status state,
                             const std::optional<log_position>& position);
    void (*m_write_deallocate)(std::string& out, std::string_view name);
    /// Says that no statement without an answer has run or will run.
    void (*m_write_release)(std::string& out);
    bool (*m_is_release)(std::string_view line);
    /// Reads what the accepting process sends: the messages of callers, resume
    /// and setup. m_read_caller takes the latter two for malformed.
    caller_message (*m_read_relayed)(std::string_view line);
};

/// Longest line that a caller or an endpoint may send, in bytes.
inline constexpr std::size_t max_line_length = 1U << 20U;

}

#endif
