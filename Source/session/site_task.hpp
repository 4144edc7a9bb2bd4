#ifndef BLUEBELLSPOKE_SESSION_SITE_TASK_HPP
#define BLUEBELLSPOKE_SESSION_SITE_TASK_HPP

#include <functional>

#include <session/object_store.hpp>
#include <session/session_messages.hpp>
#include <session/site_charts.hpp>
#include <task/loop.hpp>

namespace bluebellspoke
{

/// Creates a client of the store on a task's own event loop.
using store_factory = std::function<object_store(loop&)>;

/// Watches the store and exchanges digests, votes and settings with peers until
/// a task_stop arrives. Throws loop_error.
void run_site_task(const site_settings& settings, const site_codec& codec,
                   const site_charts& charts, const store_factory& store,
                   site_mailboxes& boxes);

}

#endif
