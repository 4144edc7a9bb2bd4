#include <decide/fair_queue.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace bluebellspoke
{

fair_queue_hook::~fair_queue_hook()
{
    remove_from_queue(*this);
}

fair_queue_flow::fair_queue_flow(fair_queue& q) : m_queue(q) {}

// Unlinks the items that are still queued, so that their destructors don't
// access a destroyed flow.
fair_queue_flow::~fair_queue_flow()
{
    while (!m_items.empty())
        remove_from_queue(m_items.front());
}

void enqueue(fair_queue& q, std::string_view workspace, double weight,
             fair_queue_hook& item)
{
    auto flow = q.m_flows.find(workspace);
    if (flow == q.m_flows.end())
        flow = q.m_flows.try_emplace(std::string(workspace), q).first;
    fair_queue_flow& f = flow->second;
    f.m_workspace = flow->first;
    f.m_weight = weight;
    // A flow gets no credit for idle time: it restarts at the virtual time.
    if (f.m_items.empty())
        f.m_virtual_start = std::max(q.m_virtual_time, f.m_virtual_start);
    auto next = f.m_items.end();
    while (next != f.m_items.begin() && item.m_due < std::prev(next)->m_due)
        --next;
    f.m_items.insert(next, item);
    item.m_flow = &f;
    ++f.m_backlog;
    ++q.m_backlog;
}

void dequeue(fair_queue& q, fair_queue_hook& item) noexcept
{
    fair_queue_flow& f = *item.m_flow;
    q.m_virtual_time = std::max(q.m_virtual_time, f.m_virtual_start);
    // Charged here and not in remove_from_queue(): items that expire in the
    // queue are free.
    f.m_virtual_start += 1 / f.m_weight;
    remove_from_queue(item);
}

void remove_from_queue(fair_queue_hook& item) noexcept
{
    if (item.m_flow == nullptr)
        return;
    fair_queue_flow& f = *std::exchange(item.m_flow, nullptr);
    item.unlink();
    --f.m_backlog;
    --f.m_queue.m_backlog;
}

std::size_t backlog(const fair_queue& q, std::string_view workspace) noexcept
{
    const auto flow = q.m_flows.find(workspace);
    return flow == q.m_flows.end() ? 0 : flow->second.m_backlog;
}

void remove_idle_flows(fair_queue& q) noexcept
{
    std::erase_if(q.m_flows,
                  [&](const auto& entry)
                  {
                      return entry.second.m_items.empty() &&
                             entry.second.m_virtual_start <= q.m_virtual_time;
                  });
}

}
