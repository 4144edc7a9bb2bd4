#include <decide/followed_settings.hpp>

namespace bluebellspoke
{

followed_settings follow_settings(const site_settings& running,
                                  const site_settings& read)
{
    followed_settings f{running, {}, {}};
    const auto follow = [&](std::string_view name, auto site_settings::*field)
    {
        if (running.*field == read.*field)
            return;
        f.m_settings.*field = read.*field;
        f.m_followed.push_back(name);
    };
    const auto keep = [&](std::string_view name, auto site_settings::*field)
    {
        if (running.*field != read.*field)
            f.m_kept.push_back(name);
    };
    follow("zones", &site_settings::m_region_of_zone);
    follow("seeds", &site_settings::m_seeds);
    follow("grace", &site_settings::m_stop_grace);
    follow("rate window", &site_settings::m_rate_window);
    follow("rate overage", &site_settings::m_rate_overage);
    follow("rate tolerance", &site_settings::m_rate_tolerance);
    keep("name", &site_settings::m_name);
    keep("zone", &site_settings::m_zone);
    keep("region", &site_settings::m_region);
    keep("caller address", &site_settings::m_caller_listen);
    keep("probe address", &site_settings::m_ready_listen);
    keep("peer address", &site_settings::m_peer_listen);
    keep("metrics address", &site_settings::m_metrics_listen);
    keep("store", &site_settings::m_store);
    keep("orders", &site_settings::m_orders);
    keep("processor", &site_settings::m_processor);
    return f;
}

}
