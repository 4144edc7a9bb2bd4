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

/// The last state that an endpoint reported, and when it was queried.
struct endpoint_state
{
    endpoint_role m_role = endpoint_role::replica;
    term_number m_fence = 0; ///< It rejects primaries of lower terms.
    log_position m_received; ///< The last entry in its log.
    log_position m_replayed; ///< The last entry visible to its reads.
    /// Staleness of the data visible to its reads at the time of the query;
    /// absent when unknown.
    std::optional<duration> m_age;
    /// When the query was sent; the reported state is not older than this.
    time_point m_asked_at{};
    /// Time since a replica last received anything, heartbeats included, from
    /// the primary that it follows; absent when unknown.
    std::optional<duration> m_primary_silence = std::nullopt;
};

}

#endif
