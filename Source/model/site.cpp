#include <model/site.hpp>

namespace bluebellspoke
{

std::string_view to_string(read_consistency consistency) noexcept
{
    switch (consistency)
    {
    case read_consistency::primary:
        return "primary";
    case read_consistency::bounded:
        return "bounded";
    case read_consistency::own_writes:
        break;
    }
    return "own_writes";
}

std::string first_workspace(const site_config& config)
{
    return config.m_workspaces.empty() ? std::string()
                                       : config.m_workspaces.begin()->first;
}

bool is_leaving(const endpoint_snapshot& snapshot,
                const site_endpoint& endpoint)
{
    return endpoint.m_draining ||
           snapshot.m_evacuated_zones.contains(endpoint.m_zone);
}

std::string_view region_of(const site_settings& settings, std::string_view zone)
{
    const auto found = settings.m_region_of_zone.find(std::string(zone));
    return found == settings.m_region_of_zone.end()
               ? std::string_view()
               : std::string_view(found->second);
}

}
