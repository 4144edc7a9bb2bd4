#ifndef BLUEBELLSPOKE_SESSION_SITE_TASK_HPP
#define BLUEBELLSPOKE_SESSION_SITE_TASK_HPP

#include <functional>

#include <session/object_store.hpp>
#include <session/session_messages.hpp>
#include <session/site_charts.hpp>
#include <task/loop.hpp>

namespace bluebellspoke
{

/// Makes a client of the store on a task's own loop.
using store_factory = std::function<object_store(loop&)>;

/// Follows the store and talks to peers until a task_stop. Throws loop_error.
void run_site_task(const site_settings& settings, const site_codec& codec,
                   const site_charts& charts, const store_factory& store,
                   site_mailboxes& boxes);

}

#endif
