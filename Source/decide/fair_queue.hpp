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

/// Base of everything that can be queued. The destructor removes the item from
/// its queue.
struct fair_queue_hook
    : boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
    fair_queue_hook() = default;
    fair_queue_hook(const fair_queue_hook&) = delete;
    fair_queue_hook& operator=(const fair_queue_hook&) = delete;
    ~fair_queue_hook();

    fair_queue_flow* m_flow = nullptr; ///< Null while not queued.
    /// Within a flow, the item with the earliest due time is served first, and
    /// of equal ones the first to arrive. Fixed while queued.
    time_point m_due{};
};

using fair_queue_list =
    boost::intrusive::list<fair_queue_hook,
                           boost::intrusive::constant_time_size<false>>;

/// The queued items of one workspace, in the order in which they are served.
struct fair_queue_flow
{
    explicit fair_queue_flow(fair_queue& q);
    fair_queue_flow(const fair_queue_flow&) = delete;
    fair_queue_flow& operator=(const fair_queue_flow&) = delete;
    ~fair_queue_flow();

    fair_queue& m_queue;
    std::string_view m_workspace; ///< Its key in fair_queue::m_flows.
    fair_queue_list m_items;
    std::size_t m_backlog = 0;  ///< Length of m_items, whose size() is linear.
    double m_virtual_start = 0; ///< Virtual start time of the first item.
    double m_weight = 1;
    service_rate m_rate;
};

/// Start-time fair queueing (SFQ): each item that is served advances the
/// virtual start time of its workspace's flow by 1 / weight, and the flow with
/// the earliest start time is served next.
struct fair_queue
{
    fair_queue() = default;
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;

    /// Length of all flows. Declared before m_flows, since the destructors of
    /// the flows still update it.
    std::size_t m_backlog = 0;
    std::map<std::string, fair_queue_flow, std::less<>> m_flows;
    double m_virtual_time = 0; ///< Virtual time.
    service_rate m_rate;
};

/// Adds an item of unit cost to the flow of the workspace, by its due time. The
/// queue doesn't own the item: its destructor removes it.
void enqueue(fair_queue& q, std::string_view workspace, double weight,
             fair_queue_hook& item);
/// Returns the item to serve next, without removing it: of the first items of
/// all flows, the one with the earliest start time that `ready` accepts, or
/// null. `ready` takes a fair_queue_hook& and returns bool.
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
            best == nullptr ||
            flow.m_virtual_start < best->m_flow->m_virtual_start;
        if (earlier && ready(head))
            best = &head;
    }
    return best;
}
/// Removes an item that is now served, and charges its flow for it.
void dequeue(fair_queue& q, fair_queue_hook& item) noexcept;
/// Removes an item without charging its flow. Does nothing if the item isn't
/// queued.
void remove_from_queue(fair_queue_hook& item) noexcept;
/// Number of queued items of a workspace.
std::size_t backlog(const fair_queue& q, std::string_view workspace) noexcept;
/// Removes empty flows whose start time isn't later than the virtual time.
/// Later ones are kept, so that a workspace can't reset its start time.
void remove_idle_flows(fair_queue& q) noexcept;

}

#endif
