#include <ctl/settings_history.hpp>

#include <algorithm>
#include <array>
#include <ctime>

#include <nlohmann/json.hpp>

#include <store/settings_codec.hpp>

namespace bluebellspoke
{

namespace
{

using nlohmann::json;

constexpr std::size_t most_entries = 20;
constexpr int most_tries = 3;

std::string history_object_name(const std::string& path)
{
    return "history/" + (path.empty() ? "@" : path);
}

std::string now_text()
{
    const std::time_t now = std::time(nullptr);
    std::tm parts{};
    gmtime_r(&now, &parts);
    std::array<char, sizeof "2026-01-01T00:00:00Z"> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text.data();
}

std::vector<history_entry> to_entries(const std::string& path,
                                      const platform_object& object)
{
    std::vector<history_entry> entries;
    if (object.m_version == 0)
        return entries;
    const json kept = json::parse(object.m_value);
    for (const json& e : kept.at("entries"))
        entries.push_back({{e.at("version").get<std::uint64_t>(),
                            decode_node(path, e.at("own").dump())},
                           e.at("at").get<std::string>()});
    return entries;
}

std::string to_value(const std::vector<history_entry>& entries)
{
    json out = json::array();
    for (const history_entry& e : entries)
        out.push_back({{"version", e.m_node.m_version},
                       {"at", e.m_at},
                       {"own", json::parse(encode_node(e.m_node.m_own))}});
    return json{{"entries", std::move(out)}}.dump();
}

void add_entry(std::vector<history_entry>& entries, history_entry added)
{
    const bool there =
        std::any_of(entries.begin(), entries.end(),
                    [&](const history_entry& e)
                    {
                        return e.m_node.m_version == added.m_node.m_version;
                    });
    if (there)
        return;
    entries.push_back(std::move(added));
    std::sort(entries.begin(), entries.end(),
              [](const history_entry& a, const history_entry& b)
              {
                  return a.m_node.m_version > b.m_node.m_version;
              });
    if (entries.size() > most_entries)
        entries.resize(most_entries);
}

}

std::vector<history_entry> read_history(operator_session& s,
                                        const std::string& path)
{
    return to_entries(path, get_object(s, history_object_name(path)));
}

settings_node node_in_history(operator_session& s, const std::string& path,
                              std::uint64_t version)
{
    for (const history_entry& e : read_history(s, path))
        if (e.m_node.m_version == version)
            return e.m_node;
    return {version, {}};
}

void keep_history(operator_session& s, const std::string& path,
                  const settings_node& before, const settings_node& after)
{
    try
    {
        for (int tries = 0; tries < most_tries; ++tries)
        {
            const platform_object held =
                get_object(s, history_object_name(path));
            std::vector<history_entry> entries = to_entries(path, held);
            if (before.m_version != 0)
                add_entry(entries, {before, ""});
            add_entry(entries, {after, now_text()});
            const auto result =
                try_put(s, {history_object_name(path), 0, to_value(entries)},
                        held.m_version);
            if (std::holds_alternative<platform_object>(result))
                return;
        }
    }
    catch (const std::exception&)
    {
        // The edit itself stands; see the header.
        return;
    }
}

}
