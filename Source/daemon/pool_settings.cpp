#include <daemon/pool_state.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

#include <nlohmann/json.hpp>

namespace bluebellspoke
{

namespace
{

pool_endpoint* find_endpoint(pool_group& g, const endpoint_setting& wanted)
{
    for (const auto& e : g.m_endpoints)
        if (e->m_setting.m_name == wanted.m_name &&
            e->m_setting.m_address == wanted.m_address)
            return e.get();
    return nullptr;
}

void add_endpoint(pool_group& g, const endpoint_setting& setting)
{
    g.m_endpoints.push_back(std::make_unique<pool_endpoint>(g, setting));
}

/// Returns true when any was removed.
bool drop_removed_endpoints(pool_group& g, const resolved_group& view)
{
    const auto is_kept = [&](const std::unique_ptr<pool_endpoint>& e)
    {
        return std::any_of(view.m_endpoints.begin(), view.m_endpoints.end(),
                           [&](const endpoint_setting& wanted)
                           {
                               return wanted.m_name == e->m_setting.m_name &&
                                      wanted.m_address ==
                                          e->m_setting.m_address;
                           });
    };
    const auto removed = std::stable_partition(g.m_endpoints.begin(),
                                               g.m_endpoints.end(), is_kept);
    // Closing one sends its requests elsewhere, so none may be in the group
    // by then.
    std::vector<std::unique_ptr<pool_endpoint>> gone(
        std::make_move_iterator(removed),
        std::make_move_iterator(g.m_endpoints.end()));
    g.m_endpoints.erase(removed, g.m_endpoints.end());
    const bool any = !gone.empty();
    for (auto& e : gone)
    {
        close_endpoint(*e);
        g.m_pool.m_closed_endpoints.push_back(std::move(e));
    }
    g.m_pool.m_reaper.start_once(std::chrono::microseconds::zero());
    return any;
}

void apply_group(pool_group& g, const resolved_group& view)
{
    bool reshaped = drop_removed_endpoints(g, view);
    for (const endpoint_setting& wanted : view.m_endpoints)
    {
        pool_endpoint* e = find_endpoint(g, wanted);
        reshaped = reshaped || e == nullptr;
        if (e == nullptr)
            add_endpoint(g, wanted);
        else
            e->m_setting = wanted;
    }
    for (const auto& e : g.m_endpoints)
    {
        e->m_connection_limit = view.m_connections;
        share_connections(*e);
        return_connections(*e);
        start_monitor(*e);
        e->m_slot_share = view.m_slots;
        update_admission(*e);
    }
    if (reshaped)
        reshape(g);
    for (fair_queue& queue : g.m_queues)
        remove_idle_flows(queue);
    dispatch(g);
}

nlohmann::json describe_endpoint(const pool_endpoint& e)
{
    nlohmann::json out{
        {"name", e.m_setting.m_name},
        {"zone", e.m_setting.m_zone},
        {"state", to_string(e.m_life)},
        {"reachable", e.m_reachable},
        {"admits", e.m_view.m_admits},
        {"running", e.m_view.m_running},
        {"slots", e.m_view.m_slots},
        {"connections", e.m_connections.size()},
        {"connections_by_right", e.m_book.m_ledger.m_base},
        {"connections_lent", count_units(e.m_book.m_ledger.m_lent)},
        {"connections_borrowed", count_units(e.m_book.m_ledger.m_borrowed)}};
    if (!e.m_view.m_state)
        return out;
    const endpoint_state& s = *e.m_view.m_state;
    out["role"] = s.m_role == endpoint_role::primary ? "primary" : "replica";
    out["fence"] = s.m_fence;
    out["received"] = {s.m_received.m_term, s.m_received.m_offset};
    out["replayed"] = {s.m_replayed.m_term, s.m_replayed.m_offset};
    return out;
}

}

void apply_settings(pool_state& p, resolved_settings_ptr settings)
{
    p.m_settings = std::move(settings);
    for (const auto& [name, view] : p.m_settings->m_groups)
    {
        auto& group = p.m_groups[name];
        if (!group)
            group = std::make_unique<pool_group>(p, name);
        apply_group(*group, view);
    }
    // A group that is gone keeps its place while requests still refer to it.
    for (auto& [name, group] : p.m_groups)
        if (!p.m_settings->m_groups.contains(name))
            apply_group(*group, resolved_group());
    tend_loans(p);
    move_zones(p);
    end_withdrawn_keys(p);
}

std::string describe_pool(const pool_state& p)
{
    nlohmann::json groups = nlohmann::json::object();
    for (const auto& [name, group] : p.m_groups)
    {
        nlohmann::json endpoints = nlohmann::json::array();
        for (const auto& e : group->m_endpoints)
            endpoints.push_back(describe_endpoint(*e));
        groups[name] = std::move(endpoints);
    }
    nlohmann::json watches = nlohmann::json::object();
    for (const auto& [name, group] : p.m_groups)
        watches[name] = to_string(group->m_watch.m_state);
    nlohmann::json zones = nlohmann::json::object();
    for (const auto& [name, state] : p.m_zones)
        zones[name] = to_string(state);
    return nlohmann::json{
        {"settings_version", p.m_settings ? p.m_settings->m_version : 0},
        {"requests", p.m_requests.size()},
        {"transactions", p.m_transactions.size()},
        {"zones", std::move(zones)},
        {"watches", std::move(watches)},
        {"groups", std::move(groups)}}
        .dump();
}

}
