#ifndef BLUEBELLSPOKE_DAEMON_DAEMON_SETTINGS_HPP
#define BLUEBELLSPOKE_DAEMON_DAEMON_SETTINGS_HPP

#include <filesystem>
#include <span>
#include <string>

#include <model/address.hpp>
#include <model/clock.hpp>
#include <options/options.hpp>
#include <wire/tls_context.hpp>

namespace bluebellspoke
{

/// Everything a daemon is told at its start.
struct daemon_settings
{
    std::string m_name; ///< Unique among the fleet's VMs.
    std::string m_zone;
    address m_listen;       ///< Callers.
    address m_peer_listen;  ///< Other daemons.
    address m_admin_listen; ///< Health, metrics, dumps.
    address m_platform;
    std::filesystem::path m_charts;
    duration m_drain_grace{};
    duration m_drain_limit{};
    std::size_t m_mailbox = 0; ///< Messages.
    tls_files m_tls;           ///< Callers and peers; no certificate: off.
    tls_files m_platform_tls;  ///< The platform; no authorities: off.
    bool m_reads_at_primary = false; ///< No read runs at a replica.
    bool m_queue_by_arrival = false; ///< Workspaces share one queue.
    bool m_queue_unbounded = false;  ///< Nothing is refused on arrival.
    bool m_even_shares = false;      ///< Shares are never lent.
    bool m_check_only = false;
};

std::span<const option_spec> daemon_options() noexcept;

/// Throws options_error, options_exit.
daemon_settings read_daemon_settings(std::span<const char* const> arguments,
                                     const environment& variables);

}

#endif
