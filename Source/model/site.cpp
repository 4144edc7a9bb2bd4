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

}
