#ifndef BLUEBELLSPOKE_DECIDE_RESOLVED_SETTINGS_HPP
#define BLUEBELLSPOKE_DECIDE_RESOLVED_SETTINGS_HPP

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <decide/settings_tree.hpp>
#include <model/clock.hpp>

namespace bluebellspoke
{

/// A workspace with its inherited values.
struct resolved_workspace
{
    std::string m_name; ///< Its path.
    std::string m_service;
    double m_rate = 0;  ///< Statements per second, for the whole fleet.
    double m_burst = 0; ///< Statements, for the whole fleet.
    double m_weight = 1;
    duration m_time_limit{};
    duration m_confirm{};
    duration m_lag_wait{};
    std::uint32_t m_queue_limit = 0; ///< Queued statements per daemon.
    bool m_open = false;
};

/// A service's database group with its inherited values.
struct resolved_group
{
    std::string m_name; ///< The service's path.
    std::vector<endpoint_setting> m_endpoints;
    std::uint32_t m_slots = 0;       ///< Per endpoint, for the whole fleet.
    std::uint32_t m_connections = 0; ///< Per endpoint, for the whole fleet.
};

using sha256_digest = std::array<std::uint8_t, 32>;

/// A caller's key and the workspace that it gives access to.
struct resolved_key
{
    sha256_digest m_digest{};
    std::string m_workspace;
    std::string m_id;
    bool m_withdrawn = false;
};

/// The whole configuration with inherited values resolved; immutable and
/// shared.
struct resolved_settings
    : boost::intrusive_ref_counter<resolved_settings,
                                   boost::thread_safe_counter>
{
    std::uint64_t m_version = 0; ///< Revision of the platform's store.
    std::map<std::string, resolved_workspace, std::less<>> m_workspaces;
    std::map<std::string, resolved_group, std::less<>> m_groups;
    std::map<sha256_digest, resolved_key> m_keys;
    std::set<std::string, std::less<>> m_zones_out;
};

using resolved_settings_ptr = boost::intrusive_ptr<const resolved_settings>;

/// Resolves the inherited values. Throws settings_error for an invalid tree.
resolved_settings_ptr resolve_settings(const settings_tree& tree,
                                       std::uint64_t version);

sha256_digest sha256(std::string_view text);

}

#endif
