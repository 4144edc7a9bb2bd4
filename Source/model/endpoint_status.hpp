#ifndef BLUEBELLSPOKE_MODEL_ENDPOINT_STATUS_HPP
#define BLUEBELLSPOKE_MODEL_ENDPOINT_STATUS_HPP

#include <cstdint>

#include <model/log_position.hpp>

namespace bluebellspoke
{

enum class endpoint_role : std::uint8_t
{
    primary,
    replica,
};

/// The status that an endpoint reports about itself.
struct endpoint_status
{
    endpoint_role m_role = endpoint_role::replica;
    term_number m_term = 0;
    log_position m_position;
    term_number m_paused_term =
        0; ///< Term that it's paused for; 0: not paused.
    std::uint64_t m_lag_ms = 0;
    std::uint32_t m_busy = 0;
    std::uint32_t m_connections = 0;
};

}

#endif
