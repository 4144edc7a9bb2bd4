#include <decide/list_history.hpp>

#include <algorithm>

namespace bluebellspoke
{

void restart_history(list_history& h, std::uint64_t revision)
{
    h.m_known_since = revision;
    h.m_removed.clear();
}

void record_removal(list_history& h, std::string_view name,
                    std::uint64_t revision)
{
    h.m_removed.insert_or_assign(std::string(name), revision);
    if (h.m_removed.size() <= max_remembered_removals)
        return;
    const auto oldest = std::ranges::min_element(h.m_removed, {},
                                                 [](const auto& entry)
                                                 {
                                                     return entry.second;
                                                 });
    h.m_known_since = std::max(h.m_known_since, oldest->second);
    h.m_removed.erase(oldest);
}

void record_presence(list_history& h, std::string_view name)
{
    const auto found = h.m_removed.find(name);
    if (found != h.m_removed.end())
        h.m_removed.erase(found);
}

std::optional<std::vector<std::string>> removed_after(const list_history& h,
                                                      std::uint64_t revision)
{
    if (revision < h.m_known_since)
        return std::nullopt;
    std::vector<std::string> names;
    for (const auto& [name, removed_at] : h.m_removed)
        if (removed_at > revision)
            names.push_back(name);
    return names;
}

}
