#include <daemon/pool_state.hpp>

#include <chrono>
#include <utility>

namespace bluebellspoke
{

namespace
{

// The order is kept until nothing on the stack uses its connection.
void retire(pool_endpoint& e)
{
    if (!e.m_order)
        return;
    pool_state& p = e.m_group.m_pool;
    p.m_closed_orders.push_back(std::move(e.m_order));
    p.m_reaper.start_once(std::chrono::microseconds::zero());
}

void on_order_reply(pool_endpoint& e, endpoint_order& order, pg_reply& reply)
{
    const pg_done done = std::exchange(order.m_done, {});
    if (e.m_order.get() == &order)
        retire(e);
    if (done && !reply.m_lost)
        done(reply);
    order.m_pg->close();
}

}

// Orders don't share the monitor's connection: it may be in the middle of a
// question that an unreachable primary's replicas answer late.
void send_order(pool_endpoint& e, std::string query, pg_done done)
{
    drop_order(e);
    pool_state& p = e.m_group.m_pool;
    e.m_order = std::make_unique<endpoint_order>();
    endpoint_order& order = *e.m_order;
    order.m_query = std::move(query);
    order.m_done = std::move(done);
    order.m_sent_at = monotonic_clock::now();
    pg_handlers handlers;
    handlers.m_on_ready = [&e, &order]
    {
        order.m_pg->submit(order.m_query,
                           [&e, &order](pg_reply& reply)
                           {
                               on_order_reply(e, order, reply);
                           });
    };
    handlers.m_on_closed = [&e, &order]
    {
        if (e.m_order.get() == &order)
            retire(e);
    };
    pg_target target;
    target.m_address = parse_address(e.m_setting.m_address);
    order.m_pg = std::make_unique<pg_connection>(
        p.m_loop, p.m_charts.m_connection, target, std::move(handlers));
    order.m_pg->open();
}

void drop_order(pool_endpoint& e)
{
    if (!e.m_order)
        return;
    e.m_order->m_done = {};
    pg_connection& pg = *e.m_order->m_pg;
    retire(e);
    pg.close();
}

}
