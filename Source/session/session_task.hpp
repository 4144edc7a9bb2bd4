#ifndef BLUEBELLSPOKE_SESSION_SESSION_TASK_HPP
#define BLUEBELLSPOKE_SESSION_SESSION_TASK_HPP

#include <session/session_charts.hpp>
#include <session/session_codec.hpp>
#include <session/session_messages.hpp>

namespace bluebellspoke
{

/// Runs the event loop that serves callers' sessions until task_stop arrives.
/// Throws loop_error if the loop or the listener can't be created.
void run_session_task(const site_settings& settings, const session_codec& codec,
                      const session_charts& charts, site_mailboxes& mailboxes);

}

#endif
