#ifndef BLUEBELLSPOKE_DECIDE_FAIR_QUEUE_HPP
#define BLUEBELLSPOKE_DECIDE_FAIR_QUEUE_HPP

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include <boost/intrusive/list.hpp>

namespace bluebellspoke
{

/// What a queued piece of work carries; it unlinks itself when it goes away.
struct fair_queue_hook
    : boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
    double m_start = 0; ///< Virtual time at which its turn begins.
};

using fair_queue_list =
    boost::intrusive::list<fair_queue_hook,
                           boost::intrusive::constant_time_size<false>>;

struct fair_queue_flow
{
    fair_queue_list m_items;
    double m_finish = 0; ///< Virtual time at which its last item ends.
    double m_weight = 1;
};

/// Start-time fair queueing: each workspace's backlog advances a clock of its
/// own at a pace set by its weight, and the one furthest behind goes next.
struct fair_queue
{
    std::map<std::string, fair_queue_flow, std::less<>> m_flows;
    double m_now = 0; ///< Virtual time.
};

/// Queues an item of unit cost. It must outlive its stay or unlink itself.
void enqueue(fair_queue& q, std::string_view workspace, double weight,
             fair_queue_hook& item);
/// The item whose turn it is among the heads that `ready` accepts, still
/// queued, or null. `ready` takes a fair_queue_hook& and returns bool.
template <class Ready>
fair_queue_hook* next_item(fair_queue& q, Ready ready)
{
    fair_queue_hook* best = nullptr;
    for (auto& [name, flow] : q.m_flows)
    {
        if (flow.m_items.empty())
            continue;
        fair_queue_hook& head = flow.m_items.front();
        const bool earlier = best == nullptr || head.m_start < best->m_start;
        if (earlier && ready(head))
            best = &head;
    }
    return best;
}
/// Takes the item out because it is being served.
void dequeue(fair_queue& q, fair_queue_hook& item) noexcept;
/// Items that wait for a workspace.
std::size_t backlog(const fair_queue& q, std::string_view workspace) noexcept;
/// Forgets workspaces that have nothing queued and are no longer ahead.
void forget_idle(fair_queue& q) noexcept;

}

#endif
