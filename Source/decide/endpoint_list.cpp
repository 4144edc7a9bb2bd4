#include <decide/endpoint_list.hpp>

#include <vector>

namespace bluebellspoke
{

void record_store_return(endpoint_list& list, time_point now)
{
    list.m_keep_missing_until = now + missing_entry_hold;
}

void put_endpoint(endpoint_list& list, const site_endpoint& endpoint)
{
    list.m_entries[endpoint.m_id] = {endpoint, std::nullopt};
}

void remove_endpoint(endpoint_list& list, std::string_view id, time_point now)
{
    const auto found = list.m_entries.find(id);
    if (found == list.m_entries.end())
        return;
    if (now < list.m_keep_missing_until)
    {
        if (!found->second.m_missing_since)
            found->second.m_missing_since = now;
        return;
    }
    list.m_entries.erase(found);
}

void replace_endpoints(
    endpoint_list& list,
    const std::map<std::string, site_endpoint, std::less<>>& listed,
    time_point now)
{
    std::vector<std::string> unlisted;
    for (const auto& [id, entry] : list.m_entries)
        if (!listed.contains(id))
            unlisted.push_back(id);
    for (const std::string& id : unlisted)
        remove_endpoint(list, id, now);
    for (const auto& [id, endpoint] : listed)
        put_endpoint(list, endpoint);
}

bool expire_missing(endpoint_list& list, time_point now)
{
    if (now < list.m_keep_missing_until)
        return false;
    return std::erase_if(list.m_entries,
                         [](const auto& entry)
                         {
                             return entry.second.m_missing_since.has_value();
                         }) > 0;
}

}
