#ifndef BLUEBELLSPOKE_DECIDE_LOAD_CLIENT_BUDGET_HPP
#define BLUEBELLSPOKE_DECIDE_LOAD_CLIENT_BUDGET_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// Memory and descriptors of the largest VM of the described deployments, for a
/// settings file that doesn't name them.
inline constexpr std::size_t default_memory_bytes = 512U << 20U;
inline constexpr std::size_t default_descriptors = 8192;

/// The largest message of the session protocol, in bytes.
inline constexpr std::size_t largest_message = 1U << 20U;
/// Copies of a statement's text that exist at once: as received, as kept for a
/// retry, as written for the endpoint, and in the endpoint connection's output.
inline constexpr std::size_t copies_of_statement = 4;
/// What the kernel may hold for a session that isn't read: its receive buffer.
inline constexpr std::size_t kernel_buffer_bytes = 64U << 10U;
/// Answers that may be unsent to a session before its next statement waits.
inline constexpr std::size_t max_unsent_answers = 64U << 10U;
/// Names of values, and of prepared statements, in one session. Operations of
/// the described deployments have up to 12 statements.
inline constexpr std::size_t max_session_names = 1024;
/// Bytes of the names, values and shapes that one session may have kept. One
/// message of the largest size fits.
inline constexpr std::size_t max_kept_bytes = 2U << 20U;

/// How long a client may take to send its STARTUP or the rest of a message, to
/// read an answer, or, kept waiting for memory, to get it. Callers of the
/// described deployments wait 10 s for an operation.
inline constexpr std::chrono::seconds client_time_limit{10};
/// Age from which a connection without a session may be closed for want of
/// descriptors: STARTUP follows within a round trip of at most 40 ms.
inline constexpr std::chrono::seconds half_open_age{1};
/// Age from which a session at rest may be closed for want of descriptors. A
/// caller doesn't rest as long within an operation; between two, those of the
/// described deployments rest 3.8 s (3,960 sessions, 1,034 operations a
/// second).
inline constexpr std::chrono::seconds rest_age{2};

/// What clients may take of one process.
struct client_limits
{
    /// Connections of callers and to endpoints together; callers are accepted
    /// below this.
    std::size_t m_connections = 0;
    /// No connection to an endpoint is opened from here on: statements of open
    /// sessions need some beyond m_connections.
    std::size_t m_all_connections = 0;
    std::size_t m_port_connections = 0; ///< Of the ready and metrics ports.
    std::size_t m_peer_connections = 0; ///< From peers.
    std::size_t m_peer_bytes = 0;       ///< For peers' unfinished messages.
    std::size_t m_session_bytes = 0;    ///< Each session has these.
    std::size_t m_shared_bytes = 0;     ///< For what sessions hold beyond.

    friend bool operator==(const client_limits&,
                           const client_limits&) = default;
};

/// Zero stands for the defaults above.
client_limits make_client_limits(std::size_t memory_bytes,
                                 std::size_t descriptors);

/// What one session holds, in bytes.
struct client_use
{
    std::size_t m_unread = 0;
    std::size_t m_unsent = 0;
    std::size_t m_kept = 0; ///< Names and values; connections have a copy.
    std::size_t m_answer = 0;
    std::size_t m_reserved = 0;  ///< For a large statement that is being read.
    std::size_t m_statement = 0; ///< Of the statement that runs; statement_use.
    bool m_is_paused = false;    ///< It isn't read; the kernel's buffer fills.
};

/// What the session takes of m_shared_bytes.
std::size_t shared_use(const client_limits& limits, const client_use& use);
/// What a statement that has been read holds until it is answered. `unsent`
/// counts what its connection has not sent yet.
std::size_t statement_use(std::size_t text, bool is_sent, std::size_t unsent);
/// True if another large statement may be read, while the other sessions take
/// `others` of the shared bytes.
bool may_reserve(const client_limits& limits, std::size_t others);
/// Up to how many unread bytes a session with a reservation is read next, which
/// has `unread` of them and no complete message. What follows the message is
/// then less than the session's part.
std::size_t large_read_limit(const client_limits& limits, std::size_t unread);
inline constexpr std::size_t large_statement_bytes =
    copies_of_statement * largest_message;

/// True if a session that keeps `names` and `kept` bytes may keep one more of
/// `added` bytes. Half of the shared bytes remain for statements and answers.
bool may_keep(const client_limits& limits, std::size_t shared_used,
              std::size_t names, std::size_t kept, std::size_t added);

/// Why a caller's connection is closed.
enum class client_fault : std::uint8_t
{
    no_startup,     ///< It sent no STARTUP in time.
    slow_message,   ///< The rest of a message didn't arrive in time.
    slow_reader,    ///< It didn't read an answer in time.
    no_memory,      ///< Others' statements took the memory for too long.
    most_memory,    ///< It held the most when memory ran out.
    made_room,      ///< It rested when descriptors ran out.
    message_length, ///< A message passed the largest size.
    task_failure,   ///< An unexpected exception.
};
inline constexpr std::size_t client_fault_count = 8;
std::string_view to_string(client_fault fault) noexcept;

/// Since when a session has been in a state; zero: it isn't.
struct client_times
{
    time_point m_without_startup_since{};
    time_point m_in_message_since{};
    time_point m_unsent_since{};
    time_point m_without_memory_since{};
    time_point m_at_rest_since{};
};

/// The time limit that the session has passed, if any.
std::optional<client_fault> overdue(const client_times& times, time_point now);
/// Larger values are closed first when descriptors run out; zero: not at all.
/// Connections without a session go first, then sessions at rest, by age.
duration closing_order(const client_times& times, time_point now);

}

#endif
