#ifndef BLUEBELLSPOKE_MODEL_RELAYED_GROUP_HPP
#define BLUEBELLSPOKE_MODEL_RELAYED_GROUP_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <model/clock.hpp>
#include <model/log_position.hpp>

namespace bluebellspoke
{

/// An endpoint that replied to the process that relays it.
struct relayed_endpoint
{
    duration m_ago{};                ///< Since its last reply.
    std::uint32_t m_connections = 0; ///< Of all processes, by its last status.
    /// Slots in use, by its last status; a peer of an earlier build sends none.
    std::optional<std::uint32_t> m_busy{};
    duration m_busy_ago{}; ///< Since the request for that status.
};

/// What one process tells others of a group that they don't ask themselves.
/// Answers the load of fleets × endpoints: status requests and the connections
/// for them grow with the cells, not with the processes.
///
/// Spans count back from when the answer was made. The receiver counts them
/// back from when it sent its request, which was earlier: what the sender saw
/// is never taken for newer than it was.
struct relayed_group
{
    std::string m_service;
    term_number m_term = 0;
    std::string m_primary;         ///< Empty: unknown.
    duration m_primary_seen_ago{}; ///< Since a request that it answered.
    std::optional<duration> m_lease_proven_ago; ///< Nothing: no lease in force.
    std::optional<log_position> m_position;     ///< Newest of the primary.
    duration m_position_asked_ago{};
    std::map<std::string, relayed_endpoint, std::less<>>
        m_endpoints; ///< By id.
};

/// An endpoint in a relayed_change.
struct relayed_endpoint_change
{
    std::uint32_t m_id_hash = 0; ///< Of its id.
    relayed_endpoint m_endpoint{};
};

/// What changed of a group since an earlier answer of the same process, which
/// also told the term and the primary. Spans count back as in relayed_group.
struct relayed_change
{
    std::uint32_t m_index = 0; ///< Of the group in the request.
    duration m_primary_seen_ago{};
    std::optional<duration> m_lease_proven_ago; ///< Nothing: not renewed.
    std::optional<log_position> m_position;     ///< Nothing: no newer one.
    duration m_position_asked_ago{};
    std::vector<relayed_endpoint_change> m_endpoints;
};

}

#endif
