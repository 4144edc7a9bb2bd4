#include <daemon/pool_state.hpp>

#include <decide/queue_admission.hpp>

namespace bluebellspoke
{

namespace
{

// What a transaction still has to do frees its connection and its locks.
bool ends_sooner_when_run(const pool_request& r)
{
    return !stands_alone(r) && r.m_operation != request_operation::begin;
}

std::size_t waiting_in_all(const pool_group& g, std::string_view flow)
{
    std::size_t waiting = 0;
    for (const fair_queue& queue : g.m_queues)
        waiting += backlog(queue, flow);
    return waiting;
}

// Only statements of one kind are alike: a begin takes no majority's time.
service_time needed_by(const pool_group& g, const pool_request& r)
{
    return stands_alone(r)
               ? g.m_needed[static_cast<std::size_t>(r.m_statement.m_kind)]
               : service_time();
}

}

// Without a flow of its own for each workspace, the queue keeps the order of
// arrival.
queue_flow_key flow_key(const pool_state& p, const pool_request& r)
{
    const resolved_workspace& workspace = *r.m_context.m_workspace;
    if (p.m_daemon.m_queue_by_arrival)
        return {};
    return {workspace.m_name, workspace.m_weight};
}

fair_queue& queue_for(pool_group& g, const pool_request& r)
{
    constexpr std::size_t inside_transaction = 0;
    constexpr std::size_t first_kind = 1;
    const auto kind = static_cast<std::size_t>(r.m_statement.m_kind);
    return g.m_queues[ends_sooner_when_run(r) ? inside_transaction
                                              : first_kind + kind];
}

void check_queue(pool_group& g, const pool_request& r)
{
    if (g.m_pool.m_daemon.m_queue_unbounded || ends_sooner_when_run(r))
        return;
    const time_point now = monotonic_clock::now();
    const queue_flow_key key = flow_key(g.m_pool, r);
    const queue_arrival arrival{key.m_name, key.m_weight,
                                waiting_in_all(g, key.m_name),
                                r.m_context.m_workspace->m_queue_limit,
                                r.m_deadline - now - needed_by(g, r).m_mean};
    switch (decide_admission(queue_for(g, r), arrival, now))
    {
    case queue_decision::admit:
        return;
    case queue_decision::full:
        throw refusal_error(refusal::queue_full);
    case queue_decision::deadline_unreachable:
        throw refusal_error(refusal::wait_too_long);
    }
}

// Under lasting overload all that is served has waited nearly to its deadline.
// To run what can't end in time would waste the slot, and leave its outcome
// unknown.
bool comes_too_late(const request& r)
{
    const pool_request& arrived = r.m_arrived;
    if (r.m_pool.m_daemon.m_queue_unbounded)
        return false;
    return cannot_finish_within(needed_by(r.m_group, arrived),
                                arrived.m_deadline - monotonic_clock::now());
}

void note_served(request& r)
{
    if (!stands_alone(r.m_arrived))
        return;
    const auto kind = static_cast<std::size_t>(r.m_arrived.m_statement.m_kind);
    record_service_time(r.m_group.m_needed[kind],
                        monotonic_clock::now() - r.m_handed_over_at);
}

}
