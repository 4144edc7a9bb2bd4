#include <decide/demand_exchange.hpp>

#include <utility>

namespace bluebellspoke
{

namespace
{

void copy_changes(demand_delta& d, const demand_history& h)
{
    for (const auto& [workspace, changed_at] : h.m_changed_at)
        if (changed_at > d.m_since)
            d.m_weights[workspace] = h.m_weights.at(workspace);
}

void copy_all(demand_delta& d, const demand_history& h)
{
    for (const auto& [workspace, weight] : h.m_weights)
        if (weight > 0)
            d.m_weights[workspace] = weight;
}

void merge_changes(demand_weights& weights, const demand_weights& changes)
{
    for (const auto& [workspace, weight] : changes)
        if (weight > 0)
            weights.insert_or_assign(workspace, weight);
        else
            weights.erase(workspace);
}

void start_incarnation(demand_exchange& x, std::uint64_t incarnation)
{
    if (x.m_incarnation != 0)
        x.m_replaced_incarnation = x.m_incarnation;
    x.m_incarnation = incarnation;
    x.m_version = 0;
    x.m_weights.clear();
}

}

void record_announcement(demand_history& h, const demand_announcement& a)
{
    for (const auto& [workspace, weight] : a.m_weights)
    {
        const auto known = h.m_weights.find(workspace);
        if (known == h.m_weights.end() || known->second != weight)
            h.m_changed_at[workspace] = a.m_version;
    }
    // A weight that is no longer named is 0 from now on.
    demand_weights weights = a.m_weights;
    for (const auto& [workspace, weight] : h.m_weights)
        if (weights.try_emplace(workspace, 0).second && weight > 0)
            h.m_changed_at[workspace] = a.m_version;
    h.m_version = a.m_version;
    h.m_weights = std::move(weights);
}

demand_delta make_delta(const demand_history& h, std::uint64_t incarnation,
                        std::uint64_t since)
{
    demand_delta d{
        incarnation, h.m_version, since <= h.m_version ? since : 0, {}};
    if (d.m_since == 0)
        copy_all(d, h);
    else
        copy_changes(d, h);
    return d;
}

delta_result apply_delta(demand_exchange& x, const demand_delta& d)
{
    if (d.m_incarnation != 0 && d.m_incarnation == x.m_replaced_incarnation)
        return delta_result::replaced;
    const bool is_known = d.m_incarnation == x.m_incarnation;
    // What has changed since m_since can be applied to each version from
    // m_since on: the other weights are the same in all of them.
    if (d.m_since > (is_known ? x.m_version : 0))
        return delta_result::lacks_base;
    if (!is_known)
        start_incarnation(x, d.m_incarnation);
    // A late message; the changes in it may have been changed again.
    if (d.m_version < x.m_version)
        return delta_result::held;
    x.m_version = d.m_version;
    if (d.m_since == 0)
        x.m_weights = d.m_weights;
    else
        merge_changes(x.m_weights, d.m_weights);
    return delta_result::held;
}

void end_exchange(demand_exchange& x)
{
    start_incarnation(x, 0);
    x.m_ack = {};
}

bool is_acked(const demand_exchange& x, std::uint64_t incarnation,
              std::uint64_t version)
{
    return x.m_ack.m_incarnation == incarnation && x.m_ack.m_version >= version;
}

std::uint64_t delta_base(const demand_exchange& x, std::uint64_t incarnation,
                         std::string_view address, time_point now)
{
    const demand_ack& a = x.m_ack;
    // Another process may be at the other end now, which lacks the base, and
    // whose answers don't arrive. After silent_after this process no longer
    // waits for its acknowledgement, so that it must have got all weights
    // before.
    const bool is_recent = now - a.m_received_at < isolated_after;
    return a.m_takes_deltas && a.m_incarnation == incarnation && is_recent &&
                   a.m_address == address
               ? a.m_version
               : 0;
}

}
