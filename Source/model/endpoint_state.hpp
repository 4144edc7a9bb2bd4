#ifndef BLUEBELLSPOKE_MODEL_ENDPOINT_STATE_HPP
#define BLUEBELLSPOKE_MODEL_ENDPOINT_STATE_HPP

#include <cstdint>
#include <optional>

#include <model/clock.hpp>
#include <model/log_position.hpp>

namespace bluebellspoke
{

enum class endpoint_role : std::uint8_t
{
    primary,
    replica,
};

/// What an endpoint last said of itself, and when it was asked.
struct endpoint_state
{
    endpoint_role m_role = endpoint_role::replica;
    term_number m_fence = 0; ///< It follows no term below this one.
    log_position m_received; ///< The last entry in its log.
    log_position m_replayed; ///< The last entry its reads can see.
    /// The age of what its reads see, as of the asking; absent when unknown.
    std::optional<duration> m_age;
    /// When the question was sent: the answer is at least this fresh.
    time_point m_asked_at{};
    /// For how long a replica has received nothing from the primary that it
    /// follows, not even a heartbeat; absent when unknown.
    std::optional<duration> m_silent = std::nullopt;
};

}

#endif
