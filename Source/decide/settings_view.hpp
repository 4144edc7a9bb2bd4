#ifndef BLUEBELLSPOKE_DECIDE_SETTINGS_VIEW_HPP
#define BLUEBELLSPOKE_DECIDE_SETTINGS_VIEW_HPP

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

/// A workspace with everything inherited filled in.
struct workspace_view
{
    std::string m_name; ///< Its path.
    std::string m_service;
    double m_rate = 0;  ///< Statements a second, over all VMs together.
    double m_burst = 0; ///< Statements, over all VMs together.
    double m_weight = 1;
    duration m_time_limit{};
    duration m_confirm{};
    duration m_lag_wait{};
    std::uint32_t m_queue_limit = 0; ///< Waiting statements, at one daemon.
    bool m_open = false;
};

/// A service's database group with everything inherited filled in.
struct group_view
{
    std::string m_name; ///< The service's path.
    std::vector<endpoint_setting> m_endpoints;
    std::uint32_t m_slots = 0;       ///< For each endpoint, whole fleet.
    std::uint32_t m_connections = 0; ///< For each endpoint, whole fleet.
};

using sha256_digest = std::array<std::uint8_t, 32>;

struct key_view
{
    sha256_digest m_digest{};
    std::string m_workspace;
    std::string m_id;
    bool m_withdrawn = false;
};

/// The whole configuration in one immutable, shared, resolved form.
struct settings_view
    : boost::intrusive_ref_counter<settings_view, boost::thread_safe_counter>
{
    std::uint64_t m_version = 0; ///< The platform's revision it stands for.
    std::map<std::string, workspace_view, std::less<>> m_workspaces;
    std::map<std::string, group_view, std::less<>> m_groups;
    std::map<sha256_digest, key_view> m_keys;
    std::set<std::string, std::less<>> m_zones_out;
};

using settings_view_ptr = boost::intrusive_ptr<const settings_view>;

/// Resolves a tree. Throws settings_error when it doesn't hold together.
settings_view_ptr resolve(const settings_tree& tree, std::uint64_t version);

sha256_digest sha256(std::string_view text);

}

#endif
