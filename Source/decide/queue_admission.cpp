#include <decide/queue_admission.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace bluebellspoke
{

namespace
{

// Number of items of the flow that start before the virtual time `start`. The
// start of a flow that can't be served lies before the current virtual time
// `now`. Such a flow may stay blocked, so only items from `now` on are counted.
double items_before(const fair_queue_flow& f, double start, double now)
{
    const double from = std::max(f.m_virtual_start, now);
    const double items = std::floor((start - from) * f.m_weight);
    return std::clamp(items, 0.0, static_cast<double>(f.m_backlog));
}

// Number of items of all flows that are served before a new item of `own`.
double items_ahead(const fair_queue& q, const fair_queue_flow& own)
{
    const double start =
        own.m_virtual_start + static_cast<double>(own.m_backlog) / own.m_weight;
    double ahead = 0;
    for (const auto& [name, flow] : q.m_flows)
        ahead += items_before(flow, start, q.m_virtual_time);
    return ahead;
}

duration time_to_serve(double items, double rate)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(items / rate));
}

}

void record_enqueue(fair_queue_hook& item, time_point now)
{
    fair_queue_flow& flow = *item.m_flow;
    if (flow.m_backlog == 1)
        begin_backlogged_period(flow.m_rate, now);
    if (flow.m_queue.m_backlog == 1)
        begin_backlogged_period(flow.m_queue.m_rate, now);
}

void record_dequeue(fair_queue_hook& item, time_point now)
{
    fair_queue_flow& flow = *item.m_flow;
    record_dequeue(flow.m_rate, now);
    record_dequeue(flow.m_queue.m_rate, now);
    if (flow.m_backlog == 1)
        end_backlogged_period(flow.m_rate);
    if (flow.m_queue.m_backlog == 1)
        end_backlogged_period(flow.m_queue.m_rate);
}

// Returns the shorter of two estimates, since each can be too long. The one by
// the flow's own rate is too long if other flows have become idle since the
// rate was measured. The one by the rate of the whole queue is too long if
// other flows are blocked, as their items are then not served first.
std::optional<duration> expected_wait(const fair_queue& q,
                                      std::string_view workspace, double weight,
                                      time_point now)
{
    const auto found = q.m_flows.find(workspace);
    if (found == q.m_flows.end() || found->second.m_items.empty())
        return std::nullopt;
    const fair_queue_flow& own = found->second;
    const std::optional<double> own_rate = current_rate(own.m_rate, now);
    const std::optional<double> rate = current_rate(q.m_rate, now);
    if (!own_rate || !rate || own.m_weight != weight)
        return std::nullopt;
    const auto own_items = static_cast<double>(own.m_backlog);
    return std::min(time_to_serve(own_items, *own_rate),
                    time_to_serve(items_ahead(q, own), *rate));
}

queue_decision decide_admission(const fair_queue& q,
                                const queue_arrival& arrival, time_point now)
{
    if (arrival.m_waiting >= arrival.m_limit)
        return queue_decision::full;
    const std::optional<duration> wait =
        expected_wait(q, arrival.m_workspace, arrival.m_weight, now);
    return wait && *wait > arrival.m_time_left
               ? queue_decision::deadline_unreachable
               : queue_decision::admit;
}

}
