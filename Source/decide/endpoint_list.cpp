#include <decide/endpoint_list.hpp>

#include <vector>

namespace bluebellspoke
{

void note_store_return(endpoint_list& l, time_point now)
{
    l.m_hold_until = now + lapse_hold;
}

void put_endpoint(endpoint_list& l, const site_endpoint& e)
{
    l.m_entries[e.m_id] = {e, std::nullopt};
}

void remove_endpoint(endpoint_list& l, std::string_view id, time_point now)
{
    const auto found = l.m_entries.find(id);
    if (found == l.m_entries.end())
        return;
    if (now < l.m_hold_until)
    {
        if (!found->second.m_missing_since)
            found->second.m_missing_since = now;
        return;
    }
    l.m_entries.erase(found);
}

void replace_endpoints(
    endpoint_list& l,
    const std::map<std::string, site_endpoint, std::less<>>& listed,
    time_point now)
{
    std::vector<std::string> gone;
    for (const auto& [id, entry] : l.m_entries)
        if (!listed.contains(id))
            gone.push_back(id);
    for (const std::string& id : gone)
        remove_endpoint(l, id, now);
    for (const auto& [id, endpoint] : listed)
        put_endpoint(l, endpoint);
}

bool expire_missing(endpoint_list& l, time_point now)
{
    if (now < l.m_hold_until)
        return false;
    return std::erase_if(l.m_entries,
                         [](const auto& entry)
                         {
                             return entry.second.m_missing_since.has_value();
                         }) > 0;
}

}
