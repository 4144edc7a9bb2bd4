#include <daemon/pool_state.hpp>

#include <decide/queue_admission.hpp>
#include <endpoint/endpoint_sql.hpp>

namespace bluebellspoke
{

namespace
{

bool is_connecting(const pool_endpoint& e)
{
    for (const auto& c : e.m_connections)
        if (c->m_pg->state() == connection_state::connecting)
            return true;
    return false;
}

// A transaction's next statement runs where the transaction lives, or nowhere.
pooled_connection* place_in_transaction(const transaction& t)
{
    pooled_connection* c = t.m_connection;
    const bool ready = c != nullptr && !c->m_running &&
                       c->m_pg->state() == connection_state::idle;
    if (!ready)
        return nullptr;
    const endpoint_view& view = c->m_endpoint.m_view;
    return view.m_running < view.m_slots ? c : nullptr;
}

pooled_connection* place(pool_group& g, std::span<const endpoint_view> views,
                         const request& r)
{
    if (r.m_transaction != nullptr &&
        r.m_arrived.m_operation != request_operation::begin)
        return place_in_transaction(*r.m_transaction);
    const route chosen =
        choose_endpoint(views, r.m_need, monotonic_clock::now());
    if (chosen.m_outcome != route_outcome::run)
        return nullptr;
    pool_endpoint& e = *g.m_endpoints[chosen.m_index];
    pooled_connection* c = find_idle(e);
    if (c == nullptr && !is_connecting(e))
        open_connection(e);
    return c;
}

term_number primary_term(const pool_endpoint& e)
{
    return e.m_view.m_state ? e.m_view.m_state->m_fence : 0;
}

std::string query_for(const request& r)
{
    const statement& s = r.m_arrived.m_statement;
    switch (r.m_arrived.m_operation)
    {
    case request_operation::begin:
        return begin_query(r.m_term);
    case request_operation::commit:
        return commit_query();
    case request_operation::rollback:
        return rollback_query();
    case request_operation::statement:
        break;
    }
    if (!stands_alone(r.m_arrived))
        return r.m_bound;
    if (s.m_kind == statement_kind::read)
        return read_query(r.m_bound);
    return write_query({r.m_term, r.m_arrived.m_context.m_workspace->m_name,
                        s.m_request_id, r.m_bound});
}

void tell_transaction(request& r)
{
    switch (r.m_arrived.m_operation)
    {
    case request_operation::begin:
        r.m_transaction->m_connection = r.m_connection;
        r.m_connection->m_transaction = r.m_transaction;
        r.m_transaction->m_term = r.m_term;
        fire(*r.m_transaction, transaction_event::statement_sent);
        break;
    case request_operation::statement:
        fire(*r.m_transaction, transaction_event::statement_sent);
        break;
    case request_operation::commit:
    case request_operation::rollback:
        fire(*r.m_transaction, transaction_event::end_sent);
        break;
    }
}

// A transaction belongs to the term that it began in, whoever leads by now.
term_number term_for(const request& r, const pooled_connection& c)
{
    const bool inside = r.m_transaction != nullptr &&
                        r.m_arrived.m_operation != request_operation::begin;
    return inside ? r.m_transaction->m_term : primary_term(c.m_endpoint);
}

void hand_over(request& r, pooled_connection& c)
{
    r.m_connection = &c;
    r.m_term = term_for(r, c);
    ++r.m_attempts;
    r.m_handed_over_at = monotonic_clock::now();
    if (r.m_attempts == 1)
        record_first_attempt(r.m_group.m_retries, r.m_handed_over_at);
    c.m_request = &r;
    c.m_running = true;
    ++c.m_endpoint.m_view.m_running;
    count_hand_over(r.m_pool.m_counts, r);
    if (r.m_transaction != nullptr)
        tell_transaction(r);
    c.m_pg->submit(query_for(r),
                   [&c](pg_reply& reply)
                   {
                       take_reply(c, reply);
                   });
    fire(r, request_event::dispatched);
}

bool dispatch_one(pool_group& g, fair_queue& queue)
{
    const std::vector<endpoint_view> views = endpoint_views(g);
    pooled_connection* chosen = nullptr;
    fair_queue_hook* item =
        next_item(queue,
                  [&](fair_queue_hook& head)
                  {
                      pooled_connection* c =
                          place(g, views, static_cast<const request&>(head));
                      if (c != nullptr)
                          chosen = c;
                      return c != nullptr;
                  });
    if (item == nullptr)
        return false;
    auto& r = static_cast<request&>(*item);
    if (comes_too_late(r))
    {
        fire(r, request_event::expired);
        return true;
    }
    record_dequeue(r, monotonic_clock::now());
    dequeue(queue, r);
    hand_over(r, *chosen);
    return true;
}

}

std::vector<endpoint_view> endpoint_views(const pool_group& g)
{
    std::vector<endpoint_view> views;
    views.reserve(g.m_endpoints.size());
    for (const auto& e : g.m_endpoints)
        views.push_back(e->m_view);
    return views;
}

void dispatch(pool_group& g)
{
    // hand_over() moves requests on, which asks for dispatch again; the outer
    // call already goes on until nothing is left to do.
    if (g.m_dispatching)
        return;
    g.m_dispatching = true;
    for (fair_queue& queue : g.m_queues)
        while (dispatch_one(g, queue))
        {
        }
    g.m_dispatching = false;
}

}
