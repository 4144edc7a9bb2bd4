#ifndef BLUEBELLSPOKE_SESSION_USAGE_TASK_HPP
#define BLUEBELLSPOKE_SESSION_USAGE_TASK_HPP

#include <functional>

#include <session/site_task.hpp>
#include <session/usage_calls.hpp>

namespace bluebellspoke
{

/// Creates a client for usage reports on a task's own event loop.
using usage_client_factory = std::function<send_usage_function(loop&)>;

/// The codec and the clients that a usage task uses.
struct usage_dependencies
{
    const site_codec& m_site_codec;
    store_factory m_make_store;
    usage_client_factory m_make_usage_client;
};

/// Competes for the usage duty, and reports the fleet's requests while it holds
/// it, until a task_stop arrives. Throws loop_error.
void run_usage_task(const site_settings& settings,
                    const usage_dependencies& dependencies,
                    const site_charts& charts, site_mailboxes& boxes);

}

#endif
