#include <decide/settings_progress.hpp>

#include <algorithm>
#include <set>

#include <decide/standing.hpp>

namespace bluebellspoke
{

namespace
{

// A node is removed by writing its object, so an object that is missing has
// been lost by the platform.
bool lacks_known_object(const version_map& known, std::uint64_t newest_known,
                        const settings_listing& listing)
{
    std::set<std::string_view> listed;
    for (const object_version& o : listing.m_objects)
        listed.insert(o.m_name);
    return std::any_of(known.begin(), known.end(),
                       [&](const auto& entry)
                       {
                           return entry.second <= newest_known &&
                                  !listed.contains(entry.first);
                       });
}

}

bool is_reverted(const version_map& known, std::uint64_t newest_known,
                 const settings_listing& listing)
{
    if (listing.m_revision < newest_known)
        return true;
    for (const object_version& o : listing.m_objects)
    {
        const auto local = known.find(o.m_name);
        const bool comparable =
            local != known.end() && local->second <= newest_known;
        if (comparable && o.m_version < local->second)
            return true;
    }
    return listing.m_is_complete &&
           lacks_known_object(known, newest_known, listing);
}

bool is_zone_watcher(std::string_view self,
                     std::span<const watch_candidate> zone) noexcept
{
    return std::none_of(zone.begin(), zone.end(),
                        [self](const watch_candidate& c)
                        {
                            return c.m_is_eligible && c.m_name < self;
                        });
}

bool may_adopt_first_settings(const first_settings_view& view) noexcept
{
    if (view.m_waited >= standing_bound)
        return true;
    return view.m_vms_known && view.m_answered_peer_count >= view.m_peer_count;
}

}
