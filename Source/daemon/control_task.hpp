#ifndef BLUEBELLSPOKE_DAEMON_CONTROL_TASK_HPP
#define BLUEBELLSPOKE_DAEMON_CONTROL_TASK_HPP

#include <daemon/daemon_settings.hpp>
#include <daemon/messages.hpp>

namespace bluebellspoke
{

/// Keeps the configuration: talks to the platform and tells the other tasks
/// what is in force. Runs until stop_wanted.
void run_control_task(const daemon_settings& settings, const daemon_tls& tls,
                      mailboxes& boxes);

}

#endif
