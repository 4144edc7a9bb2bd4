#include <decide/fair_queue.hpp>

#include <algorithm>

namespace bluebellspoke
{

void enqueue(fair_queue& q, std::string_view workspace, double weight,
             fair_queue_hook& item)
{
    auto flow = q.m_flows.find(workspace);
    if (flow == q.m_flows.end())
        flow =
            q.m_flows.emplace(std::string(workspace), fair_queue_flow()).first;
    fair_queue_flow& f = flow->second;
    f.m_weight = weight;
    // Idle time earns no credit: a flow that comes back starts at the present.
    item.m_start = std::max(q.m_now, f.m_finish);
    f.m_finish = item.m_start + 1 / weight;
    f.m_items.push_back(item);
}

void dequeue(fair_queue& q, fair_queue_hook& item) noexcept
{
    q.m_now = std::max(q.m_now, item.m_start);
    item.unlink();
}

std::size_t backlog(const fair_queue& q, std::string_view workspace) noexcept
{
    const auto flow = q.m_flows.find(workspace);
    return flow == q.m_flows.end() ? 0 : flow->second.m_items.size();
}

void forget_idle(fair_queue& q) noexcept
{
    std::erase_if(q.m_flows,
                  [&](const auto& entry)
                  {
                      return entry.second.m_items.empty() &&
                             entry.second.m_finish <= q.m_now;
                  });
}

}
