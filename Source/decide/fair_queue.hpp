#ifndef BLUEBELLSPOKE_DECIDE_FAIR_QUEUE_HPP
#define BLUEBELLSPOKE_DECIDE_FAIR_QUEUE_HPP

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include <boost/intrusive/list.hpp>

#include <decide/service_rate.hpp>

namespace bluebellspoke
{

struct fair_queue;
struct fair_queue_flow;

/// What a queued piece of work carries; it leaves its queue when it goes away.
struct fair_queue_hook
    : boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
    fair_queue_hook() = default;
    fair_queue_hook(const fair_queue_hook&) = delete;
    fair_queue_hook& operator=(const fair_queue_hook&) = delete;
    ~fair_queue_hook();

    fair_queue_flow* m_flow = nullptr; ///< While it is queued.
};

using fair_queue_list =
    boost::intrusive::list<fair_queue_hook,
                           boost::intrusive::constant_time_size<false>>;

struct fair_queue_flow
{
    explicit fair_queue_flow(fair_queue& q);
    fair_queue_flow(const fair_queue_flow&) = delete;
    fair_queue_flow& operator=(const fair_queue_flow&) = delete;
    ~fair_queue_flow();

    fair_queue& m_queue;
    fair_queue_list m_items;
    std::size_t m_backlog = 0; ///< Length of m_items.
    double m_start = 0;        ///< Virtual time at which its next turn begins.
    double m_weight = 1;
    service_rate m_rate;
};

/// Start-time fair queueing: each workspace's backlog advances a clock of its
/// own at a pace set by its weight, and the one furthest behind goes next.
struct fair_queue
{
    fair_queue() = default;
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;

    std::size_t m_backlog = 0; ///< Of all flows; outlives them.
    std::map<std::string, fair_queue_flow, std::less<>> m_flows;
    double m_now = 0; ///< Virtual time.
    service_rate m_rate;
};

/// Queues an item of unit cost. It must outlive its stay or leave by itself.
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
        const bool earlier =
            best == nullptr || flow.m_start < best->m_flow->m_start;
        if (earlier && ready(head))
            best = &head;
    }
    return best;
}
/// Takes the item out because it is being served.
void dequeue(fair_queue& q, fair_queue_hook& item) noexcept;
/// Takes the item out, unserved; nothing happens if it isn't queued.
void leave(fair_queue_hook& item) noexcept;
/// Items that wait for a workspace.
std::size_t backlog(const fair_queue& q, std::string_view workspace) noexcept;
/// Forgets workspaces that have nothing queued and are no longer ahead.
void forget_idle(fair_queue& q) noexcept;

}

#endif
