#ifndef BLUEBELLSPOKE_PEER_SETTINGS_FORMATS_HPP
#define BLUEBELLSPOKE_PEER_SETTINGS_FORMATS_HPP

#include <string>
#include <vector>

#include <peer/message_format.hpp>
#include <peer/peer_message.hpp>

/// What is relayed of the store.
namespace bluebellspoke::peer_format
{

inline json write_known(const peer_known_revisions& k)
{
    json known =
        json::array({k.m_configuration, k.m_endpoints, k.m_evacuations});
    if (k.m_members != 0)
        known.push_back(k.m_members);
    return known;
}

inline peer_known_revisions read_known(const json& j)
{
    constexpr std::size_t size_without_members = 3;
    return {j.at(0).get<std::uint64_t>(), j.at(1).get<std::uint64_t>(),
            j.at(2).get<std::uint64_t>(),
            j.size() > size_without_members
                ? j.at(size_without_members).get<std::uint64_t>()
                : 0};
}

inline peer_settings_part read_part_of_settings(const json& j)
{
    const auto part = j.value("part", std::uint8_t{0});
    if (part > static_cast<std::uint8_t>(peer_settings_part::members))
        throw peer_protocol_error();
    return static_cast<peer_settings_part>(part);
}

template <>
struct format<peer_settings_request>
{
    static constexpr const char* tag = "settings_wanted";

    static json write(const peer_settings_request& m)
    {
        json out{{"after", m.m_after},
                 {"part", static_cast<std::uint8_t>(m.m_part)},
                 {"members", m.m_wants_members}};
        if (m.m_known)
            out["known"] = write_known(*m.m_known);
        return out;
    }
    static peer_settings_request read(const json& j)
    {
        peer_settings_request m{j.at("after").get<std::uint64_t>(),
                                read_part_of_settings(j), std::nullopt,
                                j.value("members", true)};
        if (j.contains("known"))
            m.m_known = read_known(j["known"]);
        return m;
    }
};

inline json write_list_base(const peer_list_base& b)
{
    return json::array({b.m_since, b.m_removed});
}

// Earlier builds send complete lists.
inline peer_list_base read_list_base(const json& j, const char* name)
{
    if (!j.contains(name))
        return {};
    const json& base = j[name];
    return {base.at(0).get<std::uint64_t>(),
            base.at(1).get<std::vector<std::string>>()};
}

inline json write_config_delta(const peer_config_delta& d)
{
    json edits = json::array();
    for (const text_edit& e : d.m_delta.m_edits)
        edits.push_back({e.m_from, e.m_length, e.m_text});
    return json::array({d.m_base_revision, d.m_revision, d.m_delta.m_base_hash,
                        std::move(edits)});
}

inline peer_config_delta read_config_delta(const json& j)
{
    peer_config_delta d{j.at(0).get<std::uint64_t>(),
                        j.at(1).get<std::uint64_t>(),
                        {j.at(2).get<std::uint64_t>(), {}}};
    for (const json& e : j.at(3))
        d.m_delta.m_edits.push_back({e.at(0).get<std::uint64_t>(),
                                     e.at(1).get<std::uint64_t>(),
                                     e.at(2).get<std::string>()});
    return d;
}

template <>
struct format<peer_settings>
{
    static constexpr const char* tag = "settings";

    static json write(const peer_settings& m)
    {
        json objects = json::array();
        for (const peer_object& o : m.m_objects)
            objects.push_back({o.m_name, o.m_version, o.m_value});
        json vms = json::array();
        for (const peer_vm& vm : m.m_vms)
            vms.push_back({vm.m_name, vm.m_address, vm.m_zone, vm.m_leaving});
        json out{{"version", m.m_version},
                 {"objects", std::move(objects)},
                 {"vms", std::move(vms)},
                 {"secrets", m.m_secrets},
                 {"content", m.m_content_revision},
                 {"known", write_known(m.m_known)},
                 {"endpoints", write_list_base(m.m_endpoints)},
                 {"evacuations", write_list_base(m.m_evacuations)}};
        if (m.m_known.m_members != 0)
            out["members"] = write_list_base(m.m_members);
        if (m.m_config_delta)
            out["config_delta"] = write_config_delta(*m.m_config_delta);
        return out;
    }
    static peer_settings read(const json& j)
    {
        peer_settings m;
        m.m_version = j.at("version").get<std::uint64_t>();
        for (const json& o : j.at("objects"))
            m.m_objects.push_back({o.at(0).get<std::string>(),
                                   o.at(1).get<std::uint64_t>(),
                                   o.at(2).get<std::string>()});
        for (const json& vm : j.at("vms"))
            m.m_vms.push_back(
                {vm.at(0).get<std::string>(), vm.at(1).get<std::string>(),
                 vm.at(2).get<std::string>(), vm.at(3).get<bool>()});
        m.m_secrets = j.at("secrets").get<std::vector<std::string>>();
        m.m_content_revision = j.value("content", std::uint64_t{0});
        // Earlier builds send one revision for both lists, which says nothing
        // of the configuration.
        m.m_known = j.contains("known")
                        ? read_known(j["known"])
                        : peer_known_revisions{0, m.m_content_revision,
                                               m.m_content_revision};
        m.m_endpoints = read_list_base(j, "endpoints");
        m.m_evacuations = read_list_base(j, "evacuations");
        m.m_members = read_list_base(j, "members");
        if (j.contains("config_delta"))
            m.m_config_delta = read_config_delta(j["config_delta"]);
        return m;
    }
};

}

#endif
