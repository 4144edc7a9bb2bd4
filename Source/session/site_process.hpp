#ifndef BLUEBELLSPOKE_SESSION_SITE_PROCESS_HPP
#define BLUEBELLSPOKE_SESSION_SITE_PROCESS_HPP

#include <session/failover_task.hpp>
#include <session/life_task.hpp>
#include <session/usage_task.hpp>

namespace bluebellspoke
{

/// Runs the tasks of the daemon on a site until it is told to stop. `charts` is
/// the folder of the state charts. The caller has called block_life_signals().
/// Throws chart_error, loop_error, and the exception that ended a task.
void run_site_process(const site_settings& settings,
                      const std::filesystem::path& charts,
                      const failover_dependencies& dependencies,
                      const usage_dependencies& for_usage,
                      const life_dependencies& life);

}

#endif
