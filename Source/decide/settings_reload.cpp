#include <decide/settings_reload.hpp>

namespace bluebellspoke
{

settings_reload merge_reloaded_settings(const site_settings& running,
                                        const site_settings& read)
{
    settings_reload reload{running, {}, {}};
    const auto apply_if_changed =
        [&](std::string_view name, auto site_settings::*field)
    {
        if (running.*field == read.*field)
            return;
        reload.m_settings.*field = read.*field;
        reload.m_followed.push_back(name);
    };
    const auto keep_until_restart =
        [&](std::string_view name, auto site_settings::*field)
    {
        if (running.*field != read.*field)
            reload.m_kept_until_restart.push_back(name);
    };
    apply_if_changed("zones", &site_settings::m_region_of_zone);
    apply_if_changed("seeds", &site_settings::m_seeds);
    apply_if_changed("grace", &site_settings::m_stop_grace);
    apply_if_changed("rate window", &site_settings::m_rate_window);
    apply_if_changed("rate overage", &site_settings::m_rate_overage);
    apply_if_changed("rate tolerance", &site_settings::m_rate_tolerance);
    keep_until_restart("name", &site_settings::m_name);
    keep_until_restart("zone", &site_settings::m_zone);
    keep_until_restart("region", &site_settings::m_region);
    keep_until_restart("caller address", &site_settings::m_caller_listen);
    keep_until_restart("probe address", &site_settings::m_ready_listen);
    keep_until_restart("peer address", &site_settings::m_peer_listen);
    keep_until_restart("metrics address", &site_settings::m_metrics_listen);
    keep_until_restart("session address", &site_settings::m_session_listen);
    keep_until_restart("store", &site_settings::m_store);
    keep_until_restart("orders", &site_settings::m_promotion_address);
    keep_until_restart("processor", &site_settings::m_cores);
    keep_until_restart("memory", &site_settings::m_memory_bytes);
    keep_until_restart("descriptors", &site_settings::m_descriptors);
    keep_until_restart("report window", &site_settings::m_report_window);
    keep_until_restart("usage tolerance", &site_settings::m_usage_tolerance);
    keep_until_restart("usage delay", &site_settings::m_usage_delay);
    keep_until_restart("lease duration", &site_settings::m_lease_duration);
    return reload;
}

}
