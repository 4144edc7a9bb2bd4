#ifndef BLUEBELLSPOKE_DAEMON_POOL_TASK_HPP
#define BLUEBELLSPOKE_DAEMON_POOL_TASK_HPP

#include <daemon/daemon_settings.hpp>
#include <daemon/messages.hpp>
#include <daemon/pool_charts.hpp>

namespace bluebellspoke
{

/// Runs requests: owns the connections to endpoints, queues, routes, confirms
/// and retries. Runs until stop_wanted.
void run_pool_task(const daemon_settings& settings, const pool_charts& charts,
                   mailboxes& boxes);

}

#endif
