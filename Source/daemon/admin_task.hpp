#ifndef BLUEBELLSPOKE_DAEMON_ADMIN_TASK_HPP
#define BLUEBELLSPOKE_DAEMON_ADMIN_TASK_HPP

#include <daemon/daemon_settings.hpp>
#include <daemon/messages.hpp>

namespace bluebellspoke
{

/// Serves health, readiness and state dumps, takes signals, and leads the
/// graceful shutdown. Runs on the main thread until the daemon's end.
void run_admin_task(const daemon_settings& settings, mailboxes& boxes);

}

#endif
