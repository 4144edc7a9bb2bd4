#ifndef BLUEBELLSPOKE_SESSION_SESSION_TASK_HPP
#define BLUEBELLSPOKE_SESSION_SESSION_TASK_HPP

#include <session/session_charts.hpp>
#include <session/session_codec.hpp>
#include <session/session_messages.hpp>

namespace bluebellspoke
{

/// Serves callers' sessions until a task_stop. Throws loop_error.
void run_session_task(const site_settings& settings, const session_codec& codec,
                      const session_charts& charts, site_mailboxes& boxes);

}

#endif
