#include <daemon/daemon_tls.hpp>

namespace bluebellspoke
{

daemon_tls load_daemon_tls(const daemon_settings& settings)
{
    daemon_tls tls;
    const tls_files& files = settings.m_tls;
    if (!files.m_certificate.empty())
    {
        tls.m_callers = load_server_tls(files, tls_peer_check::none);
        tls.m_peer_server = load_server_tls(files, tls_peer_check::required);
        tls.m_peer_client = load_client_tls(files);
    }
    if (!settings.m_platform_tls.m_authorities.empty())
        tls.m_platform = load_client_tls(settings.m_platform_tls);
    return tls;
}

}
