#ifndef BLUEBELLSPOKE_SESSION_SITE_PROCESS_HPP
#define BLUEBELLSPOKE_SESSION_SITE_PROCESS_HPP

#include <session/failover_task.hpp>
#include <session/life_task.hpp>

namespace bluebellspoke
{

/// Runs the tasks of one process on a site until it is told to end.
/// Throws chart_error, loop_error, and what ended a task.
void run_site_process(const site_settings& settings,
                      const std::filesystem::path& charts,
                      const failover_surroundings& around,
                      const life_surroundings& life);

}

#endif
