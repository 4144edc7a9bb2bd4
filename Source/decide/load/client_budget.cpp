#include <decide/load/client_budget.hpp>

#include <algorithm>
#include <array>

namespace bluebellspoke
{

namespace
{

// The described deployments reserve these descriptors for files.
constexpr std::size_t descriptors_for_files = 200;
// Connections of the other ports, to peers and the store, and to endpoints
// beyond m_connections.
// 300 peers without cells all connect to each other.
constexpr std::size_t most_other_descriptors = 512;
constexpr std::size_t other_descriptors_divisor = 4;
// Of these, five eighths are for peers, and an eighth for endpoints.
constexpr std::size_t others_part = 8;
constexpr std::size_t peer_parts = 5;
constexpr std::size_t ports_divisor = 16;
constexpr std::size_t min_port_connections = 8;
// A quarter of the memory is divided among the sessions, a quarter is shared;
// half is left to the process itself and to the allocator.
constexpr std::size_t memory_divisor = 4;
constexpr std::size_t peer_memory_divisor = 8;
// Less than a read of the usual statements costs more than it saves.
constexpr std::size_t min_session_bytes = 4U << 10U;
constexpr std::size_t max_session_bytes = 64U << 10U;

bool has_passed(time_point since, duration limit, time_point now)
{
    return since != time_point{} && now - since >= limit;
}

constexpr std::array<std::string_view, client_fault_count> fault_names{
    "no_startup",  "slow_message", "slow_reader",    "no_memory",
    "most_memory", "made_room",    "message_length", "task_failure"};

}

client_limits make_client_limits(std::size_t memory_bytes,
                                 std::size_t descriptors)
{
    const std::size_t memory =
        memory_bytes == 0 ? default_memory_bytes : memory_bytes;
    const std::size_t open =
        std::max(descriptors == 0 ? default_descriptors : descriptors,
                 2 * descriptors_for_files);
    const std::size_t usable = open - descriptors_for_files;
    const std::size_t others =
        std::min(most_other_descriptors, usable / other_descriptors_divisor);
    client_limits limits;
    limits.m_connections = usable - others;
    limits.m_all_connections = limits.m_connections + others / others_part;
    limits.m_port_connections =
        std::max(min_port_connections, others / ports_divisor);
    limits.m_peer_connections = others * peer_parts / others_part;
    limits.m_peer_bytes = memory / peer_memory_divisor;
    limits.m_shared_bytes = memory / memory_divisor;
    limits.m_session_bytes =
        std::clamp(memory / memory_divisor / limits.m_connections,
                   min_session_bytes, max_session_bytes);
    return limits;
}

std::size_t shared_use(const client_limits& limits, const client_use& use)
{
    constexpr std::size_t copies_of_kept = 2;
    const std::size_t kernel = use.m_is_paused ? kernel_buffer_bytes : 0;
    const std::size_t all = std::max(use.m_unread, use.m_reserved) +
                            use.m_statement + use.m_unsent + use.m_answer +
                            copies_of_kept * use.m_kept + kernel;
    return all - std::min(all, limits.m_session_bytes);
}

// The text is kept for a retry; the other copy is the one that is written for
// the connection. Further copies exist only while it is read or written, which
// happens to one statement at a time.
std::size_t statement_use(std::size_t text, bool is_sent, std::size_t unsent)
{
    return text + (is_sent ? unsent : text);
}

bool may_reserve(const client_limits& limits, std::size_t others)
{
    return others + large_statement_bytes <= limits.m_shared_bytes;
}

std::size_t large_read_limit(const client_limits& limits, std::size_t unread)
{
    constexpr std::size_t line_end_length = 2;
    return std::min(unread + limits.m_session_bytes,
                    largest_message + line_end_length);
}

bool may_keep(const client_limits& limits, std::size_t shared_used,
              std::size_t names, std::size_t kept, std::size_t added)
{
    if (names >= max_session_names || kept + added > max_kept_bytes)
        return false;
    constexpr std::size_t copies_of_kept = 2;
    const std::size_t all = copies_of_kept * (kept + added);
    return all <= limits.m_session_bytes ||
           shared_used + copies_of_kept * added <= limits.m_shared_bytes / 2;
}

std::string_view to_string(client_fault fault) noexcept
{
    return fault_names.at(static_cast<std::size_t>(fault));
}

std::optional<client_fault> overdue(const client_times& times, time_point now)
{
    if (has_passed(times.m_without_startup_since, client_time_limit, now))
        return client_fault::no_startup;
    if (has_passed(times.m_in_message_since, client_time_limit, now))
        return client_fault::slow_message;
    if (has_passed(times.m_unsent_since, client_time_limit, now))
        return client_fault::slow_reader;
    if (has_passed(times.m_without_memory_since, client_time_limit, now))
        return client_fault::no_memory;
    return std::nullopt;
}

duration closing_order(const client_times& times, time_point now)
{
    // A connection without a session is at most client_time_limit old.
    constexpr std::chrono::hours before_all_at_rest{24 * 365};
    if (has_passed(times.m_without_startup_since, half_open_age, now))
        return before_all_at_rest + (now - times.m_without_startup_since);
    if (has_passed(times.m_at_rest_since, rest_age, now))
        return now - times.m_at_rest_since;
    return duration{};
}

}
