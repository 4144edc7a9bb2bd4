#ifndef BLUEBELLSPOKE_SESSION_FAILOVER_TASK_HPP
#define BLUEBELLSPOKE_SESSION_FAILOVER_TASK_HPP

#include <functional>

#include <session/promotion_orders.hpp>
#include <session/session_codec.hpp>
#include <session/site_task.hpp>

namespace bluebellspoke
{

/// Makes a client for promotion orders on a task's own loop.
using orders_factory = std::function<send_promotion(loop&)>;

/// What a failover task speaks with.
struct failover_surroundings
{
    const session_codec& m_session_codec;
    const site_codec& m_site_codec;
    store_factory m_store;
    orders_factory m_orders;
};

/// Takes part in the duty of promoting until a task_stop. Throws loop_error.
void run_failover_task(const site_settings& settings,
                       const failover_surroundings& around,
                       const site_charts& charts, site_mailboxes& boxes);

}

#endif
