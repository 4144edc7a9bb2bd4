#ifndef BLUEBELLSPOKE_DAEMON_DAEMON_HPP
#define BLUEBELLSPOKE_DAEMON_DAEMON_HPP

#include <daemon/daemon_settings.hpp>

namespace bluebellspoke
{

/// Starts the daemon's tasks and runs until a signal ends it or a task fails.
/// Throws chart_error, tls_error, loop_error, and what a task failed with.
void run_daemon(const daemon_settings& settings);

}

#endif
