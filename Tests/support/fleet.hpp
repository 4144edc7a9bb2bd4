#ifndef BLUEBELLSPOKE_SUPPORT_FLEET_HPP
#define BLUEBELLSPOKE_SUPPORT_FLEET_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <support/caller.hpp>
#include <support/certificates.hpp>
#include <support/child_process.hpp>
#include <support/daemon_build.hpp>
#include <support/relay.hpp>

namespace bluebellspoke::support
{

/// Addresses of one daemon.
struct daemon_node
{
    std::string m_name;
    std::string m_zone;
    address m_callers;
    address m_peers;
    address m_admin;
    std::vector<std::string> m_command;
    std::unique_ptr<child_process> m_process;
    std::unique_ptr<relay> m_platform; ///< Between it and the platform.
};

struct endpoint_node
{
    std::string m_name;
    std::string m_zone;
    address m_address;
    std::vector<std::string> m_command;
    std::unique_ptr<child_process> m_process;
    std::unique_ptr<relay> m_relay; ///< Between the daemons and it.
};

struct fleet_options
{
    std::size_t m_daemons = 2;
    std::size_t m_endpoints = 3;
    std::size_t m_zones = 1;   ///< zone-1, zone-2, … in turn.
    unsigned m_lag_ms = 0;     ///< Of the replicas.
    unsigned m_service_us = 0; ///< Of each statement.
    unsigned m_slots = 5;
    unsigned m_connections = 30;
    const test_authority* m_authority = nullptr;  ///< Absent: no TLS.
    std::vector<std::string> m_daemon_flags = {}; ///< Further ones.
    bool m_relays = false; ///< Put relays before the stand-ins.
    /// A program that runs the daemons, as a profiler does, and its words.
    std::vector<std::string> m_daemon_runner = {};
    /// Builds of the daemons, in turn; empty: the current one. Read by the
    /// constructor only.
    std::span<const daemon_build> m_builds = {};
};

/// Options as experiments and stories give them; what is absent keeps its
/// default. Throws nlohmann::json::exception.
fleet_options read_fleet_options(const nlohmann::json& text);

/// The whole system on loopback: a platform, one database group named "group"
/// and daemons, all of them separate processes.
struct fleet
{
    explicit fleet(const fleet_options& options);

    fleet_options m_options;
    scratch_folder m_kept; ///< What endpoints keep across a restart.
    address m_platform_address;
    std::unique_ptr<child_process> m_platform;
    std::vector<endpoint_node> m_endpoints;
    std::vector<daemon_node> m_daemons;
};

/// Starts a daemon's process anew.
void start_daemon(daemon_node& d);
void start_endpoint(endpoint_node& e);

/// The settings node of the group.
nlohmann::json group_node(const fleet& f);

/// Runs bluebellspokectl against the fleet's platform.
finished_program ctl(const fleet& f, std::vector<std::string> words);
/// Writes a node of the settings tree; fails the test's set-up by throwing.
void put_node(const fleet& f, const std::string& path,
              const nlohmann::json& node);
/// Writes a node straight into the platform, unchecked, as no operator's
/// client would.
void put_node_unchecked(const fleet& f, const std::string& path,
                        const nlohmann::json& node);
/// Grants a key and returns it.
std::string grant_key(const fleet& f, const std::string& workspace,
                      const std::string& id);
/// Makes the platform go down, slow, silent, lose answers, or come up.
void set_platform_fault(const fleet& f, const nlohmann::json& fault);
/// Keeps a copy of the platform's store, or goes back to it.
void save_platform(const fleet& f);
void restore_platform(const fleet& f);
/// Tells the platform's list of VMs.
void set_vms(const fleet& f, const nlohmann::json& vms);

/// The list of VMs as the fleet was started.
nlohmann::json vm_list(const fleet& f);
/// The parts of a daemon's dump by task; null when it doesn't answer.
nlohmann::json dump_of(const daemon_node& d);
/// GET on the admin address; a status of 0 means no answer.
reply admin_get(const daemon_node& d, const std::string& path);

/// Asks again and again until `done` says so. Returns false after `limit`.
bool eventually(const std::function<bool()>& done,
                std::chrono::milliseconds limit = std::chrono::seconds(20));

}

#endif
