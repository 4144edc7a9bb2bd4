#ifndef BLUEBELLSPOKE_PEER_CELL_FORMATS_HPP
#define BLUEBELLSPOKE_PEER_CELL_FORMATS_HPP

#include <algorithm>
#include <string>
#include <vector>

#include <peer/message_format.hpp>
#include <peer/peer_message.hpp>

/// What the processes of a cell, and cell leaders, tell each other.
namespace bluebellspoke::peer_format
{

// A time is the last field of its message, and is left out when it is 0: that
// is what earlier builds send and expect.
inline void append_time(json& fields, std::uint64_t ms)
{
    if (ms != 0)
        fields.push_back(ms);
}

inline std::uint64_t read_time(const json& j, std::size_t index)
{
    // Beyond the year 2200 the time is wrong, and nanoseconds may overflow.
    constexpr std::uint64_t max_ms = 7'258'118'400'000;
    return index < j.size() ? std::min(max_ms, j.at(index).get<std::uint64_t>())
                            : 0;
}

// Sent to every peer each second; an array without field names keeps it short.
template <>
struct format<peer_site_digest>
{
    static constexpr const char* tag = "site";

    static json write(const peer_site_digest& m)
    {
        json weights = json::array();
        for (const peer_workspace_demand& w : m.m_weights)
            weights.push_back({w.m_workspace, w.m_operations_per_10s});
        json fields = json::array({m.m_name, m.m_address, m.m_zone,
                                   m.m_store_is_available, m.m_store_revision,
                                   m.m_config_version, m.m_incarnation,
                                   m.m_weights_version, m.m_seen_incarnation,
                                   m.m_seen_weights_version, weights,
                                   m.m_shutting_down, m.m_leads_cell});
        append_time(fields, m.m_wall_ms);
        return fields;
    }
    static peer_site_digest read(const json& j)
    {
        peer_site_digest m{j.at(0).get<std::string>(),
                           j.at(1).get<std::string>(),
                           j.at(2).get<std::string>(),
                           j.at(3).get<bool>(),
                           j.at(4).get<std::uint64_t>(),
                           j.at(5).get<std::uint64_t>(),
                           j.at(6).get<std::uint64_t>(),
                           j.at(7).get<std::uint64_t>(),
                           j.at(8).get<std::uint64_t>(),
                           j.at(9).get<std::uint64_t>(),
                           {},
                           j.at(11).get<bool>()};
        for (const json& w : j.at(10))
            m.m_weights.push_back(
                {w.at(0).get<std::string>(), w.at(1).get<std::uint32_t>()});
        // Earlier builds don't say it, and take each digest in a fleet with
        // cells for a leader's.
        constexpr std::size_t size_without_leadership = 12;
        m.m_leads_cell = j.size() <= size_without_leadership ||
                         j.at(size_without_leadership).get<bool>();
        m.m_wall_ms = read_time(j, size_without_leadership + 1);
        return m;
    }
};

template <>
struct format<peer_vote_request>
{
    static constexpr const char* tag = "vote_wanted";

    static json write(const peer_vote_request& m)
    {
        json fields = json::array(
            {m.m_name, m.m_address, m.m_incarnation, m.m_leads_cell,
             m.m_shutting_down, m.m_store_is_available, m.m_store_revision,
             m.m_config_version, m.m_content_revision, m.m_endpoints_revision,
             m.m_evacuations_revision});
        if (m.m_members_revision == 0)
        {
            append_time(fields, m.m_true_ms);
            return fields;
        }
        // Earlier builds read the time here, and 0 as none.
        fields.push_back(m.m_true_ms);
        fields.push_back(m.m_members_revision);
        if (m.m_confirmed_incarnation != 0)
            fields.push_back(m.m_confirmed_incarnation);
        return fields;
    }
    static peer_vote_request read(const json& j)
    {
        peer_vote_request m{
            j.at(0).get<std::string>(),   j.at(1).get<std::string>(),
            j.at(2).get<std::uint64_t>(), j.at(3).get<bool>(),
            j.at(4).get<bool>(),          j.at(5).get<bool>(),
            j.at(6).get<std::uint64_t>(), j.at(7).get<std::uint64_t>(),
            j.at(8).get<std::uint64_t>()};
        // Earlier builds send one revision for both lists.
        constexpr std::size_t single_revision_size = 9;
        const bool has_each = j.size() > single_revision_size;
        m.m_endpoints_revision =
            has_each ? j.at(9).get<std::uint64_t>() : m.m_content_revision;
        m.m_evacuations_revision =
            has_each ? j.at(10).get<std::uint64_t>() : m.m_content_revision;
        constexpr std::size_t size_without_time = 11;
        m.m_true_ms = read_time(j, size_without_time);
        constexpr std::size_t size_without_members = size_without_time + 1;
        if (j.size() > size_without_members)
            m.m_members_revision =
                j.at(size_without_members).get<std::uint64_t>();
        constexpr std::size_t size_without_restart = size_without_members + 1;
        if (j.size() > size_without_restart)
            m.m_confirmed_incarnation =
                j.at(size_without_restart).get<std::uint64_t>();
        return m;
    }
};

template <>
struct format<peer_vote>
{
    static constexpr const char* tag = "vote";

    static json write(const peer_vote& m)
    {
        json fields =
            json::array({m.m_name, m.m_granted, m.m_store_is_available,
                         m.m_store_revision, m.m_config_version});
        append_time(fields, m.m_wall_ms);
        return fields;
    }
    static peer_vote read(const json& j)
    {
        constexpr std::size_t size_without_time = 5;
        return {j.at(0).get<std::string>(),   j.at(1).get<bool>(),
                j.at(2).get<bool>(),          j.at(3).get<std::uint64_t>(),
                j.at(4).get<std::uint64_t>(), read_time(j, size_without_time)};
    }
};

template <>
struct format<peer_restart_request>
{
    static constexpr const char* tag = "restart_wanted";

    static json write(const peer_restart_request&)
    {
        return json::array();
    }
    static peer_restart_request read(const json&)
    {
        return {};
    }
};

template <>
struct format<peer_restart>
{
    static constexpr const char* tag = "restart";

    static json write(const peer_restart& m)
    {
        return json::array(
            {m.m_name, m.m_incarnation, m.m_is_unused, m.m_was_member});
    }
    static peer_restart read(const json& j)
    {
        return {j.at(0).get<std::string>(), j.at(1).get<std::uint64_t>(),
                j.at(2).get<bool>(), j.at(3).get<bool>()};
    }
};

template <>
struct format<peer_referral>
{
    static constexpr const char* tag = "referral";

    static json write(const peer_referral& m)
    {
        return json::array({m.m_leader_address});
    }
    static peer_referral read(const json& j)
    {
        return {j.at(0).get<std::string>()};
    }
};

inline json write_tokens(const std::vector<peer_workspace_tokens>& tokens)
{
    json out = json::array();
    for (const peer_workspace_tokens& t : tokens)
        out.push_back({t.m_workspace, t.m_count, t.m_retry_after_ms});
    return out;
}

inline std::vector<peer_workspace_tokens> read_tokens(const json& j)
{
    std::vector<peer_workspace_tokens> out;
    for (const json& t : j)
        out.push_back({t.at(0).get<std::string>(), t.at(1).get<std::uint32_t>(),
                       t.at(2).get<std::uint32_t>()});
    return out;
}

template <>
struct format<peer_token_request>
{
    static constexpr const char* tag = "tokens_wanted";

    static json write(const peer_token_request& m)
    {
        json j = json::array({write_tokens(m.m_tokens)});
        if (m.m_from_other_cell)
            j.push_back(true);
        return j;
    }
    static peer_token_request read(const json& j)
    {
        return {read_tokens(j.at(0)), j.size() > 1 && j.at(1).get<bool>()};
    }
};

template <>
struct format<peer_token_grant>
{
    static constexpr const char* tag = "tokens_given";

    static json write(const peer_token_grant& m)
    {
        return json::array({m.m_from_leader, write_tokens(m.m_tokens)});
    }
    static peer_token_grant read(const json& j)
    {
        return {j.at(0).get<bool>(), read_tokens(j.at(1))};
    }
};

template <>
struct format<peer_usage_request>
{
    static constexpr const char* tag = "usage_wanted";

    static json write(const peer_usage_request& m)
    {
        return json::array({m.m_of_cell, m.m_incarnation, m.m_from});
    }
    static peer_usage_request read(const json& j)
    {
        return {j.at(0).get<bool>(), j.at(1).get<std::uint64_t>(),
                j.at(2).get<std::uint64_t>()};
    }
};

template <>
struct format<peer_usage>
{
    static constexpr const char* tag = "usage";

    static json write(const peer_usage& m)
    {
        const usage_summary& s = m.m_summary;
        json windows = json::array();
        for (const auto& [id, w] : s.m_windows)
            windows.push_back(json::array({id, w.m_missing, w.m_counts}));
        return json::array({s.m_source, s.m_incarnation, s.m_version,
                            s.m_final_before, std::move(windows)});
    }
    static peer_usage read(const json& j)
    {
        usage_summary s{j.at(0).get<std::string>(),
                        j.at(1).get<std::uint64_t>(),
                        j.at(2).get<std::uint64_t>(),
                        j.at(3).get<std::uint64_t>(),
                        {}};
        for (const json& w : j.at(4))
            s.m_windows[w.at(0).get<window_id>()] = {
                w.at(2).get<usage_counts>(), w.at(1).get<std::uint32_t>()};
        return {std::move(s)};
    }
};

}

#endif
