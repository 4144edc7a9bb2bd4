#include <decide/load/turn_queue.hpp>

#include <algorithm>
#include <optional>

namespace bluebellspoke
{

namespace
{

turn_rate& rate_of(turn_queue& q, turn_kind kind)
{
    return q.m_rates[static_cast<std::size_t>(kind)];
}

// A turn of another line is lost to a waiting line only if that line's
// statements could have used it.
bool could_use(const turn_class& waiting, bool at_primary)
{
    return at_primary || waiting.m_kind != turn_kind::primary_only;
}

double turns_of(const turn_queue& q, std::string_view workspace)
{
    const auto found = q.m_workspace_turns.find(workspace);
    return found == q.m_workspace_turns.end() ? 0 : found->second;
}

// Returns the turns of the workspace furthest behind, of those that wait.
double least_turns(const turn_queue& q)
{
    std::optional<double> least;
    for (const auto& [c, line] : q.m_lines)
        for (const auto& [workspace, flow] : line.m_queue.m_flows)
            if (flow.m_backlog > 0)
            {
                const double turns = turns_of(q, workspace);
                least = std::min(least.value_or(turns), turns);
            }
    return least.value_or(0);
}

bool waits(const turn_queue& q, std::string_view workspace)
{
    return std::ranges::any_of(q.m_lines,
                               [&](const auto& entry)
                               {
                                   return backlog(entry.second.m_queue,
                                                  workspace) > 0;
                               });
}

void note_passed_over(turn_queue& q, const turn_class& served, bool at_primary)
{
    for (auto& [c, line] : q.m_lines)
        if (served < c && line.m_queue.m_backlog > 0 &&
            could_use(c, at_primary))
            line.m_passed_over =
                std::min(line.m_passed_over + 1, max_turns_passed_over);
}

}

void enqueue(turn_queue& q, const turn_class& c, std::string_view workspace,
             double weight, fair_queue_hook& item, time_point now)
{
    update_backlog(q, now);
    // No credit for idle time, as in a fair queue.
    if (c.m_kind != turn_kind::any && !waits(q, workspace))
    {
        double& turns = q.m_workspace_turns.try_emplace(std::string(workspace))
                            .first->second;
        turns = std::max(turns, least_turns(q));
    }
    enqueue(q.m_lines[c].m_queue, workspace, weight, item);
    begin_backlog(rate_of(q, c.m_kind), now);
}

std::size_t backlog(const turn_queue& q) noexcept
{
    std::size_t items = 0;
    for (const auto& [c, line] : q.m_lines)
        items += line.m_queue.m_backlog;
    return items;
}

std::size_t backlog(const turn_queue& q, turn_kind kind) noexcept
{
    std::size_t items = 0;
    for (const auto& [c, line] : q.m_lines)
        if (c.m_kind == kind)
            items += line.m_queue.m_backlog;
    return items;
}

double most_fair_turns(const turn_queue& q) noexcept
{
    return least_turns(q) + max_workspace_lead;
}

bool is_ahead(const turn_queue& q, const turn_class& c,
              std::string_view workspace, double fair_turns) noexcept
{
    return c.m_kind != turn_kind::any && turns_of(q, workspace) > fair_turns;
}

void record_turn(turn_queue& q, const turn_class& c, std::string_view workspace,
                 bool at_primary, time_point now)
{
    record_turn(rate_of(q, c.m_kind), c.m_priority, now);
    if (c.m_kind != turn_kind::any && backlog(q) > 0)
        q.m_workspace_turns.try_emplace(std::string(workspace)).first->second +=
            1;
    note_passed_over(q, c, at_primary);
}

void take_turn(turn_queue& q, const turn_class& c, fair_queue_hook& item,
               bool at_primary, time_point now)
{
    record_turn(q, c, item.m_flow->m_workspace, at_primary, now);
    q.m_lines[c].m_passed_over = 0;
    dequeue(q.m_lines[c].m_queue, item);
    update_backlog(q, now);
}

void retract_turn(turn_queue& q, const turn_class& c)
{
    retract_turn(rate_of(q, c.m_kind), c.m_priority);
}

void update_backlog(turn_queue& q, time_point now)
{
    for (auto& [c, line] : q.m_lines)
        if (line.m_queue.m_backlog == 0)
            line.m_passed_over = 0;
    if (backlog(q) == 0)
        q.m_workspace_turns.clear();
    for (std::size_t kind = 0; kind < turn_kind_count; ++kind)
        if (q.m_rates[kind].m_has_backlog &&
            backlog(q, static_cast<turn_kind>(kind)) == 0)
            end_backlog(q.m_rates[kind], now);
}

// Between statements of one class, one that just arrived may be served first,
// as it was before there were priorities: it can use an idle connection of its
// workspace that those waiting can't.
bool must_queue(const turn_queue& q, const turn_class& c,
                std::string_view workspace) noexcept
{
    if (backlog(q) == 0)
        return false;
    if (is_ahead(q, c, workspace, most_fair_turns(q)))
        return true;
    return std::ranges::any_of(
        q.m_lines,
        [&](const auto& entry)
        {
            const turn_line& line = entry.second;
            const bool goes_first =
                entry.first < c || line.m_passed_over >= max_turns_passed_over;
            return line.m_queue.m_backlog > 0 && entry.first != c && goes_first;
        });
}

}
