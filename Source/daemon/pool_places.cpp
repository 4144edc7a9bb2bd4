#include <daemon/pool_state.hpp>

#include <chrono>
#include <set>

#include <decide/endpoint_admission.hpp>

namespace bluebellspoke
{

namespace
{

constexpr std::chrono::milliseconds return_step{500};

bool zone_is_out(const pool_state& p, std::string_view zone)
{
    return p.m_settings && p.m_settings->m_zones_out.contains(zone);
}

void fire(pool_endpoint& e, endpoint_event event)
{
    e.m_group.m_pool.m_charts.m_endpoint_charts.m_endpoint.fire(
        e.m_life, event,
        [&e](endpoint_action)
        {
            e.m_returned_at = monotonic_clock::now();
            e.m_group.m_pool.m_return_step.start_once(return_step);
        });
}

void follow_settings(pool_endpoint& e)
{
    const bool out = e.m_setting.m_leaving ||
                     zone_is_out(e.m_group.m_pool, e.m_setting.m_zone);
    fire(e, out ? endpoint_event::taken_out : endpoint_event::put_back);
    if (e.m_reachable)
        fire(e, endpoint_event::reached);
}

void settle(pool_endpoint& e, time_point now)
{
    if (e.m_life == endpoint_lifecycle::returning &&
        now - e.m_returned_at >= ramp_up_time)
        fire(e, endpoint_event::ramped_up);
}

bool zone_is_empty(const pool_state& p, std::string_view zone)
{
    for (const auto& [name, group] : p.m_groups)
        for (const auto& e : group->m_endpoints)
            if (e->m_setting.m_zone == zone && e->m_view.m_running > 0)
                return false;
    return true;
}

bool zone_returns(const pool_state& p, std::string_view zone)
{
    for (const auto& [name, group] : p.m_groups)
        for (const auto& e : group->m_endpoints)
            if (e->m_setting.m_zone == zone &&
                e->m_life == endpoint_lifecycle::returning)
                return true;
    return false;
}

std::set<std::string> zones_of(const pool_state& p)
{
    std::set<std::string> zones;
    for (const auto& [name, group] : p.m_groups)
        for (const auto& e : group->m_endpoints)
            zones.insert(e->m_setting.m_zone);
    return zones;
}

void move_zone(pool_state& p, const std::string& name, zone_lifecycle& state)
{
    const zone_chart& chart = p.m_charts.m_endpoint_charts.m_zone;
    const bool out = zone_is_out(p, name);
    chart.fire(state, out ? zone_event::taken_out : zone_event::put_back);
    if (zone_is_empty(p, name))
        chart.fire(state, zone_event::emptied);
    if (!zone_returns(p, name))
        chart.fire(state, zone_event::ramped_up);
}

}

void update_admission(pool_endpoint& e)
{
    const pool_state& p = e.m_group.m_pool;
    follow_settings(e);
    e.m_view.m_admits = admits_work({e.m_reachable, e.m_setting.m_leaving,
                                     zone_is_out(p, e.m_setting.m_zone)});
    e.m_view.m_local = e.m_setting.m_zone == p.m_daemon.m_zone;
    const bool returning = e.m_life == endpoint_lifecycle::returning;
    e.m_view.m_slots =
        returning ? ramp_up_slots(e.m_slot_share,
                                  monotonic_clock::now() - e.m_returned_at)
                  : e.m_slot_share;
}

void move_zones(pool_state& p)
{
    const std::set<std::string> zones = zones_of(p);
    std::erase_if(p.m_zones,
                  [&](const auto& entry)
                  {
                      return !zones.contains(entry.first);
                  });
    for (const std::string& zone : zones)
        move_zone(p, zone, p.m_zones.try_emplace(zone).first->second);
    for (const auto& [name, state] : p.m_zones)
        if (state == zone_lifecycle::going_out)
            p.m_return_step.start_once(return_step);
}

void step_returns(pool_state& p)
{
    const time_point now = monotonic_clock::now();
    for (const auto& [name, group] : p.m_groups)
        for (const auto& e : group->m_endpoints)
        {
            if (e->m_life != endpoint_lifecycle::returning)
                continue;
            settle(*e, now);
            update_admission(*e);
            p.m_return_step.start_once(return_step);
        }
    move_zones(p);
    for (const auto& [name, group] : p.m_groups)
        dispatch(*group);
}

}
