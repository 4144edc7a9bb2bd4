#include <decide/queue_admission.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace bluebellspoke
{

namespace
{

// Items of a flow whose turns begin before `start`. A flow that was held up
// lies behind the present; it may stay held up, so only what it has from the
// present on counts.
double turns_before(const fair_queue_flow& f, double start, double present)
{
    const double from = std::max(f.m_start, present);
    const double turns = std::floor((start - from) * f.m_weight);
    return std::clamp(turns, 0.0, static_cast<double>(f.m_backlog));
}

double turns_ahead(const fair_queue& q, const fair_queue_flow& own)
{
    const double start =
        own.m_start + static_cast<double>(own.m_backlog) / own.m_weight;
    double ahead = 0;
    for (const auto& [name, flow] : q.m_flows)
        ahead += turns_before(flow, start, q.m_now);
    return ahead;
}

duration time_for(double turns, double rate)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(turns / rate));
}

}

void note_queued(fair_queue_hook& item, time_point now)
{
    fair_queue_flow& flow = *item.m_flow;
    if (flow.m_backlog == 1)
        begin_waiting(flow.m_rate, now);
    if (flow.m_queue.m_backlog == 1)
        begin_waiting(flow.m_queue.m_rate, now);
}

void note_turn(fair_queue_hook& item, time_point now)
{
    fair_queue_flow& flow = *item.m_flow;
    note_turn(flow.m_rate, now);
    note_turn(flow.m_queue.m_rate, now);
    if (flow.m_backlog == 1)
        end_waiting(flow.m_rate);
    if (flow.m_queue.m_backlog == 1)
        end_waiting(flow.m_queue.m_rate);
}

// Two estimates, and the shorter counts. By the flow's own rate: others may
// have gone idle since, so it will be served faster. By that of the whole
// queue: others may be held up, and what they have queued is not ahead.
std::optional<duration> expected_wait(const fair_queue& q,
                                      std::string_view workspace, double weight,
                                      time_point now)
{
    const auto found = q.m_flows.find(workspace);
    if (found == q.m_flows.end() || found->second.m_items.empty())
        return std::nullopt;
    const fair_queue_flow& own = found->second;
    const std::optional<double> own_rate = rate_now(own.m_rate, now);
    const std::optional<double> rate = rate_now(q.m_rate, now);
    if (!own_rate || !rate || own.m_weight != weight)
        return std::nullopt;
    const auto own_turns = static_cast<double>(own.m_backlog);
    return std::min(time_for(own_turns, *own_rate),
                    time_for(turns_ahead(q, own), *rate));
}

queue_verdict judge_arrival(const fair_queue& q, const queue_arrival& arrival,
                            time_point now)
{
    if (arrival.m_waiting >= arrival.m_limit)
        return queue_verdict::full;
    const std::optional<duration> wait =
        expected_wait(q, arrival.m_workspace, arrival.m_weight, now);
    return wait && *wait > arrival.m_left ? queue_verdict::too_late
                                          : queue_verdict::admit;
}

}
