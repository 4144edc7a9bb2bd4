#include <session/session_homes.hpp>

#include <algorithm>
#include <array>
#include <string>

#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

std::set<std::string, std::less<>> group_names(const site_config& config)
{
    std::set<std::string, std::less<>> names;
    for (const auto& [name, service] : config.m_services)
        names.insert(name);
    return names;
}

std::string join(const std::set<std::string, std::less<>>& names)
{
    std::string text;
    for (const std::string& name : names)
        text.append(text.empty() ? "" : ", ").append(name);
    return text;
}

std::set<std::string, std::less<>> own_groups(const home_table& table,
                                              std::string_view self)
{
    std::set<std::string, std::less<>> groups;
    for (const auto& [group, homes] : table)
        if (std::ranges::any_of(homes,
                                [&](const home_candidate& h)
                                {
                                    return h.m_name == self;
                                }))
            groups.insert(group);
    return groups;
}

std::set<std::string, std::less<>> avoided_homes(const home_directory& d,
                                                 time_point now)
{
    std::set<std::string, std::less<>> names;
    for (const auto& [name, avoidance] : d.m_avoided)
        if (now < avoidance.m_until)
            names.insert(name);
    return names;
}

}

void apply_members(session_task_state& t, const members_changed& m)
{
    t.m_homes.m_members = m.m_members;
    t.m_homes.m_members_received_at = boot_now();
    update_homes(t);
}

void update_homes(session_task_state& t)
{
    if (!t.m_config)
        return;
    home_directory& d = t.m_homes;
    std::vector<home_candidate> candidates;
    std::map<std::string_view, std::size_t> members_by_region;
    for (const session_member& m : d.m_members)
    {
        const std::string_view region = region_of(t.m_settings, m.m_zone);
        if (region.empty())
            continue;
        ++members_by_region[region];
        if (region == t.m_settings.m_region)
            candidates.push_back({m.m_name, m.m_cores});
    }
    d.m_regions.clear();
    for (const auto& [region, members] : members_by_region)
        d.m_regions.emplace(region);
    const auto groups = group_names(*t.m_config);
    d.m_table = choose_homes(candidates, groups);
    d.m_homes_per_group = 0;
    for (const auto& [region, members] : members_by_region)
        d.m_homes_per_group += homes_per_group(members, groups.size());
    std::set<std::string, std::less<>> own =
        own_groups(d.m_table, t.m_settings.m_name);
    if (own == d.m_own_groups)
        return;
    d.m_own_groups = std::move(own);
    log_event(event_id::homes_chosen,
              {{"own_groups", join(d.m_own_groups)},
               {"groups", std::to_string(groups.size())},
               {"members", std::to_string(candidates.size())},
               {"homes_per_group", std::to_string(homes_per_group(
                                       candidates.size(), groups.size()))},
               {"config_version", std::to_string(t.m_config->m_version)}});
}

bool has_homes(const session_task_state& t, std::string_view service)
{
    if (!t.m_config)
        return false;
    const auto found = t.m_config->m_services.find(service);
    return found != t.m_config->m_services.end() &&
           needs_homes(found->second.m_connections, t.m_process_count,
                       t.m_has_cell_leaders);
}

std::size_t connection_users(const session_task_state& t,
                             const site_service& service)
{
    const bool is_home = t.m_homes.m_own_groups.contains(service.m_name) &&
                         has_homes(t, service.m_name);
    return is_home ? std::min(t.m_homes.m_homes_per_group, t.m_process_count)
                   : t.m_process_count;
}

home_decision judge_home(const session_task_state& t, const session& s,
                         time_point now)
{
    const home_directory& d = t.m_homes;
    const std::string& service = s.m_route->m_service;
    if (s.m_is_relayed)
        return {home_verdict::relayed, {}};
    // A caller may have come from another region, because its own had no
    // process in service: only the process that it reached may have its
    // statements then.
    if (!allows_region(s, t.m_settings.m_region))
        return {home_verdict::region, {}};
    if (!has_homes(t, service))
        return {home_verdict::not_needed, {}};
    const auto homes = d.m_table.find(service);
    const std::string_view home =
        homes == d.m_table.end()
            ? std::string_view()
            : choose_home(homes->second,
                          {service, s.m_workspace, t.m_settings.m_name},
                          avoided_homes(d, now));
    if (home.empty())
        return {home_verdict::none_available, {}};
    if (home == t.m_settings.m_name)
        return {home_verdict::is_home, {}};
    if (is_home_congested(t, home))
        return {home_verdict::congested, {}};
    return {home_verdict::passed_on, home};
}

void avoid_home(session_task_state& t, std::string_view home,
                std::string_view cause)
{
    const time_point now = boot_now();
    home_avoidance& a = t.m_homes.m_avoided[std::string(home)];
    // All sessions at a home notice its end at once.
    if (now < a.m_until)
        return;
    a.m_interval = std::clamp<duration>(a.m_interval * 2, min_home_avoidance,
                                        max_home_avoidance);
    a.m_until = now + a.m_interval;
    ++t.m_homes.m_losses;
    log_event(event_id::home_lost,
              {{"home", std::string(home)},
               {"cause", std::string(cause)},
               {"avoided_ms", milliseconds_of(a.m_interval)}});
}

void collect_home_metrics(metric_families& families,
                          const session_task_state& t)
{
    const home_directory& d = t.m_homes;
    const auto accepted = std::ranges::count_if(t.m_sessions,
                                                [](const session& s)
                                                {
                                                    return s.m_is_relayed;
                                                });
    const auto passed_on = std::distance(d.m_links.begin(), d.m_links.end());
    add_value(families, metric_id::relayed_sessions,
              std::array{std::string_view("out")},
              static_cast<double>(passed_on));
    add_value(families, metric_id::relayed_sessions,
              std::array{std::string_view("in")},
              static_cast<double>(accepted));
    add_value(families, metric_id::relayed_statements, {},
              static_cast<double>(d.m_passed_on_statements));
    add_value(families, metric_id::home_moves, {},
              static_cast<double>(d.m_moves));
    add_value(families, metric_id::homes_lost, {},
              static_cast<double>(d.m_losses));
}

}
