#include <decide/load/turn_wait.hpp>

#include <algorithm>
#include <cmath>

namespace bluebellspoke
{

namespace
{

// Longer waits are as good as endless, and don't fit into a duration.
constexpr double max_wait_seconds = 3600;

duration time_to_serve(double items, double rate)
{
    if (items <= 0)
        return {};
    const double seconds =
        rate > 0 ? std::min(items / rate, max_wait_seconds) : max_wait_seconds;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

// Number of items of the flow that go before the requested one.
double position_in(const fair_queue_flow& flow, const turn_request& request)
{
    double position = 0;
    for (const fair_queue_hook& other : flow.m_items)
    {
        const bool is_reached = request.m_item != nullptr
                                    ? &other == request.m_item
                                    : request.m_due < other.m_due;
        if (is_reached)
            break;
        ++position;
    }
    return position;
}

// Number of items of the line that go before the requested one. Flows that
// can't be served lag behind the virtual time; they may stay so, and only their
// items from that time on are counted.
double ahead_in_line(const fair_queue& q, const turn_request& request)
{
    const auto own = q.m_flows.find(request.m_workspace);
    const bool is_known = own != q.m_flows.end();
    const double position = is_known ? position_in(own->second, request) : 0;
    double start = q.m_virtual_time;
    if (is_known && own->second.m_backlog > 0)
        start = own->second.m_virtual_start;
    else if (is_known)
        start = std::max(start, own->second.m_virtual_start);
    start += position / request.m_weight;
    double ahead = position;
    for (const auto& [name, flow] : q.m_flows)
    {
        if (name == request.m_workspace)
            continue;
        const double from = std::max(flow.m_virtual_start, q.m_virtual_time);
        const double items = std::floor((start - from) * flow.m_weight);
        ahead += std::clamp(items, 0.0, static_cast<double>(flow.m_backlog));
    }
    return ahead;
}

// The turns before the requested item's, in the order of the lines, and with
// the turns that its own line is guaranteed.
struct turns_ahead
{
    double m_in_order = 0;
    double m_guaranteed = 0;
};

// Number of items in a more urgent line that go before those of a workspace
// that isn't ahead of its fair share.
double fair_items(const turn_queue& q, const turn_class& c,
                  const turn_line& line, double fair_turns)
{
    double items = 0;
    for (const auto& [workspace, flow] : line.m_queue.m_flows)
        if (!is_ahead(q, c, workspace, fair_turns))
            items += static_cast<double>(flow.m_backlog);
    return items;
}

turns_ahead count_ahead(const turn_queue& q, const turn_request& request)
{
    turns_ahead ahead;
    double passed_over = 0;
    const double fair_turns = most_fair_turns(q);
    for (const auto& [c, line] : q.m_lines)
        if (c == request.m_class)
        {
            ahead.m_guaranteed = ahead_in_line(line.m_queue, request);
            passed_over = line.m_passed_over;
        }
        else if (c.m_kind == request.m_class.m_kind && c < request.m_class)
            ahead.m_in_order += fair_items(q, c, line, fair_turns);
    ahead.m_in_order += ahead.m_guaranteed;
    ahead.m_guaranteed += (ahead.m_guaranteed + 1) * max_turns_passed_over;
    ahead.m_guaranteed -= passed_over;
    return ahead;
}

}

std::size_t items_ahead(const turn_queue& q, const turn_request& request)
{
    const turns_ahead ahead = count_ahead(q, request);
    return static_cast<std::size_t>(
        std::min(ahead.m_in_order, ahead.m_guaranteed));
}

std::optional<expected_turn>
expect_turn(const turn_queue& q, const turn_request& request, time_point now)
{
    const turn_class& c = request.m_class;
    const turn_rate& rate = q.m_rates[static_cast<std::size_t>(c.m_kind)];
    if (backlog(q, c.m_kind) == 0)
        return std::nullopt;
    const auto rest = available_rate(rate, c.m_priority, now);
    const auto all = available_rate(rate, 0, now);
    if (!rest || !all)
        return std::nullopt;
    const turns_ahead ahead = count_ahead(q, request);
    expected_turn e;
    e.m_earliest = std::min(time_to_serve(ahead.m_in_order, rest->m_high),
                            time_to_serve(ahead.m_guaranteed, all->m_high));
    e.m_latest = std::min(time_to_serve(ahead.m_in_order + 1, rest->m_low),
                          time_to_serve(ahead.m_guaranteed + 1, all->m_low));
    e.m_ahead = items_ahead(q, request);
    e.m_rate = *rest;
    e.m_rate_age = now - rate.m_last_turn_at;
    return e;
}

wait_decision decide_wait(const std::optional<expected_turn>& expected,
                          duration useful_time)
{
    if (!expected)
        return wait_decision::unknown;
    if (expected->m_earliest > useful_time)
        return wait_decision::hopeless;
    return expected->m_latest <= useful_time ? wait_decision::in_time
                                             : wait_decision::unknown;
}

time_point useful_until(const wait_limits& l)
{
    const time_point useful = l.m_operation_start + l.m_latency_objective -
                              l.m_usual_time - answer_margin;
    const time_point safe = l.m_deadline -
                            deadline_reserve * l.m_usual_statement_time -
                            answer_margin;
    return std::max(l.m_least, std::min(useful, safe));
}

}
