#ifndef BLUEBELLSPOKE_DAEMON_FRONT_TASK_HPP
#define BLUEBELLSPOKE_DAEMON_FRONT_TASK_HPP

#include <daemon/daemon_settings.hpp>
#include <daemon/messages.hpp>

namespace bluebellspoke
{

/// Serves callers: owns their connections, checks keys, sessions and rates,
/// and hands requests to the pool. Runs until stop_wanted.
void run_front_task(const daemon_settings& settings, const daemon_tls& tls,
                    mailboxes& boxes);

}

#endif
