#ifndef BLUEBELLSPOKE_MODEL_SITE_HPP
#define BLUEBELLSPOKE_MODEL_SITE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <model/address.hpp>
#include <model/clock.hpp>

namespace bluebellspoke
{

/// How stale the reads of a database may be.
enum class read_consistency : std::uint8_t
{
    primary,    ///< Reads see every acknowledged commit.
    bounded,    ///< Reads may miss commits within the route's bound.
    own_writes, ///< As bounded, but reads see the session's own.
};

std::string_view to_string(read_consistency consistency) noexcept;

/// Names of regions; an empty set allows all regions.
using region_set = std::set<std::string, std::less<>>;

/// The route of one database: its service and its limits.
struct site_route
{
    std::string m_name;
    std::string m_database;
    std::string m_service;
    read_consistency m_consistency = read_consistency::primary;
    duration m_statement_timeout{};
    duration m_latency_objective{}; ///< For a whole operation.
    duration m_staleness{};         ///< Zero for read_consistency::primary.
    bool m_public = false;          ///< Callers need no API key.
    region_set m_regions;
    std::uint32_t m_priority = 0; ///< 0 is the most urgent.
};

/// A group of endpoints: a primary and its replicas.
struct site_service
{
    std::string m_name;
    std::uint32_t m_connections = 0;   ///< To one endpoint, for all callers.
    std::uint32_t m_sync_replicas = 0; ///< Must hold a commit before its ack.
};

/// The limits of a workspace, all VMs together.
struct site_workspace
{
    std::string m_name;
    double m_rate = 0;         ///< Operations per second.
    std::uint32_t m_burst = 0; ///< Operations.
    region_set m_regions;
};

/// One accepted version of the configuration; immutable.
struct site_config
    : boost::intrusive_ref_counter<site_config, boost::thread_safe_counter>
{
    std::uint64_t m_version = 0;
    std::map<std::string, site_route, std::less<>> m_routes; ///< By database.
    std::map<std::string, site_service, std::less<>> m_services;
    std::map<std::string, site_workspace, std::less<>> m_workspaces;
    std::map<std::string, std::string, std::less<>>
        m_keys;                    ///< Workspace by key.
    duration m_transaction_idle{}; ///< Zero: no limit.
    /// Some route has a priority other than 0.
    bool m_has_priorities = false;
    /// Routes, services, workspaces and keys that failed a check.
    std::size_t m_left_out = 0;
    std::string m_first_left_out; ///< Its place, such as `routes[2]`.
};

using site_config_ptr = boost::intrusive_ptr<const site_config>;

/// Returns the workspace that the system's own queries use, the first one;
/// empty when there is none.
std::string first_workspace(const site_config& config);

/// One endpoint as registered in the store.
struct site_endpoint
{
    std::string m_id;
    std::string m_service;
    address m_address;
    std::string m_zone;
    bool m_draining = false;
    bool m_claims_primary = false;
    std::uint64_t m_started_ms = 0; ///< Unix time at which its process started.
    std::uint32_t m_slots = 0; ///< Statements that it runs at once; 0: unknown.

    friend bool operator==(const site_endpoint&,
                           const site_endpoint&) = default;
};

/// The endpoints of all services, and the zones that receive no new requests.
struct endpoint_snapshot
    : boost::intrusive_ref_counter<endpoint_snapshot,
                                   boost::thread_safe_counter>
{
    std::map<std::string, site_endpoint, std::less<>> m_endpoints; ///< By id.
    std::set<std::string, std::less<>> m_evacuated_zones;
    std::uint64_t m_revision = 0; ///< Of the store, whose list this reflects.
    /// When the store or a peer had last confirmed the list as this snapshot
    /// was published. Later confirmations without a change aren't passed on.
    time_point m_confirmed_at{};
};

/// Returns true when the endpoint is draining or its zone is evacuated.
bool is_leaving(const endpoint_snapshot& snapshot,
                const site_endpoint& endpoint);

using endpoint_snapshot_ptr = boost::intrusive_ptr<const endpoint_snapshot>;

/// The settings of one process: its identity, addresses and limits.
struct site_settings
{
    std::string m_name;
    std::string m_zone;
    std::string m_region;
    std::map<std::string, std::string, std::less<>> m_region_of_zone;
    address m_caller_listen;
    address m_ready_listen;
    address m_peer_listen;
    address m_metrics_listen;
    /// Where other processes pass their sessions on to this one; port 0:
    /// nowhere.
    address m_session_listen;
    address m_store;
    address m_promotion_address;    ///< Service that runs promotions.
    bool m_first_start = false;     ///< First start of the deployment.
    std::vector<address> m_seeds;   ///< Peers to query while the store is down.
    double m_cores = 0;             ///< Cores that the VM may use; 0: unknown.
    std::size_t m_memory_bytes = 0; ///< Of the VM; 0: unknown.
    std::size_t m_descriptors = 0;  ///< That the VM may have open; 0: unknown.
    duration m_stop_grace{};
    duration m_rate_window{};     ///< Window over which rates are enforced.
    double m_rate_overage = 0;    ///< Fraction by which they may be exceeded.
    double m_rate_tolerance = 0;  ///< Operations allowed beyond the overage.
    duration m_report_window{};   ///< Of usage reports; zero: none are made.
    double m_usage_tolerance = 0; ///< Fraction by which a count may be off.
    duration m_usage_delay{};     ///< From a window's end to its deadline.
    duration m_lease_duration{};  ///< Holders of a duty don't alternate in it.
};

/// Returns the region of a zone, or an empty string if it isn't known.
std::string_view region_of(const site_settings& settings,
                           std::string_view zone);

}

#endif
