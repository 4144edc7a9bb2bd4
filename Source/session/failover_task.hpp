#ifndef BLUEBELLSPOKE_SESSION_FAILOVER_TASK_HPP
#define BLUEBELLSPOKE_SESSION_FAILOVER_TASK_HPP

#include <functional>

#include <session/promotion_orders.hpp>
#include <session/session_codec.hpp>
#include <session/site_task.hpp>

namespace bluebellspoke
{

/// Creates a client for promotion orders on a task's own event loop.
using promotion_client_factory = std::function<send_promotion_function(loop&)>;

/// The codecs and clients that a failover task uses.
struct failover_dependencies
{
    const session_codec& m_session_codec;
    const site_codec& m_site_codec;
    store_factory m_make_store;
    promotion_client_factory m_make_promotion_client;
};

/// Competes for the failover duty, and replaces failed primaries while it holds
/// it, until a task_stop arrives. Throws loop_error.
void run_failover_task(const site_settings& settings,
                       const failover_dependencies& dependencies,
                       const site_charts& charts, site_mailboxes& boxes);

}

#endif
