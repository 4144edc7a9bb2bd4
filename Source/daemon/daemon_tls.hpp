#ifndef BLUEBELLSPOKE_DAEMON_DAEMON_TLS_HPP
#define BLUEBELLSPOKE_DAEMON_DAEMON_TLS_HPP

#include <daemon/daemon_settings.hpp>
#include <wire/tls_context.hpp>

namespace bluebellspoke
{

/// The certificates of each side of a daemon; null where TLS is off.
struct daemon_tls
{
    tls_context_ptr m_callers;     ///< As their server.
    tls_context_ptr m_peer_server; ///< Peers show certificates.
    tls_context_ptr m_peer_client;
    tls_context_ptr m_platform; ///< As its client.
};

/// Reads the files that the settings name. Throws tls_error.
daemon_tls load_daemon_tls(const daemon_settings& settings);

}

#endif
