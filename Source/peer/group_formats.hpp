#ifndef BLUEBELLSPOKE_PEER_GROUP_FORMATS_HPP
#define BLUEBELLSPOKE_PEER_GROUP_FORMATS_HPP

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <peer/message_format.hpp>
#include <peer/peer_message.hpp>

/// What is relayed of groups of endpoints.
namespace bluebellspoke::peer_format
{

// Earlier builds read the first two elements.
template <>
struct format<peer_group_request>
{
    static constexpr const char* tag = "groups_wanted";

    static json write(const peer_group_request& m)
    {
        json out = json::array({m.m_services, m.m_from_other_cell});
        if (m.m_source != 0)
        {
            out.push_back(m.m_source);
            out.push_back(m.m_versions);
            out.push_back(m.m_leases);
        }
        return out;
    }
    static peer_group_request read(const json& j)
    {
        peer_group_request m{j.at(0).get<std::vector<std::string>>(),
                             j.at(1).get<bool>()};
        constexpr std::size_t size_without_versions = 2;
        if (j.size() > size_without_versions)
        {
            m.m_source = j.at(2).get<std::uint64_t>();
            m.m_versions = j.at(3).get<std::vector<std::uint64_t>>();
            m.m_leases = j.at(4).get<std::vector<std::uint32_t>>();
        }
        return m;
    }
};

// Spans are sent in milliseconds, rounded up: what was seen is never taken for
// newer than it is.
inline std::uint64_t write_span(duration d)
{
    return static_cast<std::uint64_t>(
        std::chrono::ceil<std::chrono::milliseconds>(
            std::max(d, duration::zero()))
            .count());
}

inline duration read_span(const json& j)
{
    constexpr std::uint64_t max_ms = 3'600'000;
    return std::chrono::milliseconds(std::min(max_ms, j.get<std::uint64_t>()));
}

// Earlier builds read the first three elements.
inline json write_endpoint(const std::string& id, const relayed_endpoint& e)
{
    json out = json::array({id, write_span(e.m_ago), e.m_connections});
    if (e.m_busy)
    {
        out.push_back(*e.m_busy);
        out.push_back(write_span(e.m_busy_ago));
    }
    return out;
}

inline relayed_endpoint read_endpoint(const json& j)
{
    relayed_endpoint e{read_span(j.at(1)), j.at(2).get<std::uint32_t>()};
    constexpr std::size_t size_without_busy = 3;
    if (j.size() > size_without_busy)
    {
        e.m_busy = j.at(3).get<std::uint32_t>();
        e.m_busy_ago = read_span(j.at(4));
    }
    return e;
}

// Group is a relayed_group or a relayed_change.
template <class Group>
inline json write_lease(const Group& g)
{
    return g.m_lease_proven_ago ? json(write_span(*g.m_lease_proven_ago))
                                : json();
}

template <class Group>
inline json write_position(const Group& g)
{
    return g.m_position
               ? json::array({g.m_position->m_term, g.m_position->m_offset,
                              write_span(g.m_position_asked_ago)})
               : json();
}

template <class Group>
inline void read_lease(const json& j, Group& g)
{
    if (!j.is_null())
        g.m_lease_proven_ago = read_span(j);
}

template <class Group>
inline void read_position(const json& j, Group& g)
{
    if (j.is_null())
        return;
    g.m_position = {j.at(0).get<term_number>(), j.at(1).get<std::uint64_t>()};
    g.m_position_asked_ago = read_span(j.at(2));
}

inline json write_group(const relayed_group& g)
{
    json endpoints = json::array();
    for (const auto& [id, e] : g.m_endpoints)
        endpoints.push_back(write_endpoint(id, e));
    return json::array({g.m_service, g.m_term, g.m_primary,
                        write_span(g.m_primary_seen_ago), write_lease(g),
                        write_position(g), std::move(endpoints)});
}

inline relayed_group read_group(const json& j)
{
    relayed_group g;
    g.m_service = j.at(0).get<std::string>();
    g.m_term = j.at(1).get<term_number>();
    g.m_primary = j.at(2).get<std::string>();
    g.m_primary_seen_ago = read_span(j.at(3));
    read_lease(j.at(4), g);
    read_position(j.at(5), g);
    for (const json& e : j.at(6))
        g.m_endpoints.emplace(e.at(0).get<std::string>(), read_endpoint(e));
    return g;
}

// The request for a status was sent before its reply arrived: its age is sent
// as the difference, which is short.
inline json write_endpoint_change(const relayed_endpoint_change& c)
{
    const relayed_endpoint& e = c.m_endpoint;
    json out = json::array({c.m_id_hash, write_span(e.m_ago), e.m_connections});
    if (e.m_busy)
    {
        out.push_back(*e.m_busy);
        out.push_back(write_span(e.m_busy_ago - e.m_ago));
    }
    return out;
}

inline relayed_endpoint_change read_endpoint_change(const json& j)
{
    relayed_endpoint_change c{j.at(0).get<std::uint32_t>(), read_endpoint(j)};
    c.m_endpoint.m_busy_ago += c.m_endpoint.m_ago;
    return c;
}

inline json write_change(const relayed_change& c)
{
    return json::array({c.m_index, write_span(c.m_primary_seen_ago),
                        write_lease(c), write_position(c),
                        write_all<relayed_endpoint_change>(
                            c.m_endpoints, write_endpoint_change)});
}

inline relayed_change read_change(const json& j)
{
    relayed_change c;
    c.m_index = j.at(0).get<std::uint32_t>();
    c.m_primary_seen_ago = read_span(j.at(1));
    read_lease(j.at(2), c);
    read_position(j.at(3), c);
    c.m_endpoints = read_all(j.at(4), read_endpoint_change);
    return c;
}

// Earlier builds read the first two elements. They name no version in their
// requests, so the groups in answers to them are complete.
template <>
struct format<peer_groups>
{
    static constexpr const char* tag = "groups";

    static json write(const peer_groups& m)
    {
        json out =
            json::array({m.m_from_leader,
                         write_all<relayed_group>(m.m_groups, write_group)});
        if (m.m_source != 0)
        {
            out.push_back(m.m_source);
            out.push_back(m.m_version);
            out.push_back(write_all<relayed_change>(m.m_changes, write_change));
        }
        return out;
    }
    static peer_groups read(const json& j)
    {
        peer_groups m{j.at(0).get<bool>(), read_all(j.at(1), read_group)};
        constexpr std::size_t size_without_version = 2;
        if (j.size() > size_without_version)
        {
            m.m_source = j.at(2).get<std::uint64_t>();
            m.m_version = j.at(3).get<std::uint64_t>();
            m.m_changes = read_all(j.at(4), read_change);
        }
        return m;
    }
};

}

#endif
