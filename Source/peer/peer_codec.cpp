#include <peer/peer_codec.hpp>

#include <algorithm>
#include <chrono>
#include <span>
#include <vector>

#include <nlohmann/json.hpp>
#include <peer/nesting_depth.hpp>

namespace bluebellspoke
{

namespace
{

using nlohmann::json;

// The tag on the wire, the encoder and the decoder of each message type.
template <class Message>
struct format;

template <>
struct format<peer_heartbeat>
{
    static constexpr const char* tag = "heartbeat";

    static json write(const peer_heartbeat& m)
    {
        return {{"name", m.m_name},
                {"incarnation", m.m_incarnation},
                {"settings_version", m.m_settings_version},
                {"platform_answers", m.m_platform_is_available},
                {"confirmed_age_ms", m.m_confirmed_age_ms},
                {"draining", m.m_draining},
                {"epoch", m.m_epoch},
                {"epoch_applied", m.m_applied_epoch},
                {"epoch_confirmed_age_ms", m.m_epoch_confirmed_age_ms},
                {"epoch_platform_answers", m.m_epoch_platform_is_available},
                {"address", m.m_address},
                {"zone", m.m_zone}};
    }
    static peer_heartbeat read(const json& j)
    {
        return {j.at("name").get<std::string>(),
                j.at("incarnation").get<std::uint64_t>(),
                j.at("settings_version").get<std::uint64_t>(),
                j.at("platform_answers").get<bool>(),
                j.at("confirmed_age_ms").get<std::uint64_t>(),
                j.at("draining").get<bool>(),
                j.at("epoch").get<std::uint64_t>(),
                j.at("epoch_applied").get<std::uint64_t>(),
                j.at("epoch_confirmed_age_ms").get<std::uint64_t>(),
                j.at("epoch_platform_answers").get<bool>(),
                j.at("address").get<std::string>(),
                j.at("zone").get<std::string>()};
    }
};

// A time is the last field of its message, and is left out when it is 0: that
// is what earlier builds send and expect.
void append_time(json& fields, std::uint64_t ms)
{
    if (ms != 0)
        fields.push_back(ms);
}

std::uint64_t read_time(const json& j, std::size_t index)
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

json write_tokens(const std::vector<peer_workspace_tokens>& tokens)
{
    json out = json::array();
    for (const peer_workspace_tokens& t : tokens)
        out.push_back({t.m_workspace, t.m_count, t.m_retry_after_ms});
    return out;
}

std::vector<peer_workspace_tokens> read_tokens(const json& j)
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

template <class Value, class Write>
json write_all(std::span<const Value> values, Write write)
{
    json out = json::array();
    for (const Value& v : values)
        out.push_back(write(v));
    return out;
}

template <class Read>
auto read_all(const json& j, Read read)
{
    std::vector<decltype(read(j))> out;
    for (const json& value : j)
        out.push_back(read(value));
    return out;
}

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
std::uint64_t write_span(duration d)
{
    return static_cast<std::uint64_t>(
        std::chrono::ceil<std::chrono::milliseconds>(
            std::max(d, duration::zero()))
            .count());
}

duration read_span(const json& j)
{
    constexpr std::uint64_t max_ms = 3'600'000;
    return std::chrono::milliseconds(std::min(max_ms, j.get<std::uint64_t>()));
}

// Earlier builds read the first three elements.
json write_endpoint(const std::string& id, const relayed_endpoint& e)
{
    json out = json::array({id, write_span(e.m_ago), e.m_connections});
    if (e.m_busy)
    {
        out.push_back(*e.m_busy);
        out.push_back(write_span(e.m_busy_ago));
    }
    return out;
}

relayed_endpoint read_endpoint(const json& j)
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
json write_lease(const Group& g)
{
    return g.m_lease_proven_ago ? json(write_span(*g.m_lease_proven_ago))
                                : json();
}

template <class Group>
json write_position(const Group& g)
{
    return g.m_position
               ? json::array({g.m_position->m_term, g.m_position->m_offset,
                              write_span(g.m_position_asked_ago)})
               : json();
}

template <class Group>
void read_lease(const json& j, Group& g)
{
    if (!j.is_null())
        g.m_lease_proven_ago = read_span(j);
}

template <class Group>
void read_position(const json& j, Group& g)
{
    if (j.is_null())
        return;
    g.m_position = {j.at(0).get<term_number>(), j.at(1).get<std::uint64_t>()};
    g.m_position_asked_ago = read_span(j.at(2));
}

json write_group(const relayed_group& g)
{
    json endpoints = json::array();
    for (const auto& [id, e] : g.m_endpoints)
        endpoints.push_back(write_endpoint(id, e));
    return json::array({g.m_service, g.m_term, g.m_primary,
                        write_span(g.m_primary_seen_ago), write_lease(g),
                        write_position(g), std::move(endpoints)});
}

relayed_group read_group(const json& j)
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
json write_endpoint_change(const relayed_endpoint_change& c)
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

relayed_endpoint_change read_endpoint_change(const json& j)
{
    relayed_endpoint_change c{j.at(0).get<std::uint32_t>(), read_endpoint(j)};
    c.m_endpoint.m_busy_ago += c.m_endpoint.m_ago;
    return c;
}

json write_change(const relayed_change& c)
{
    return json::array({c.m_index, write_span(c.m_primary_seen_ago),
                        write_lease(c), write_position(c),
                        write_all<relayed_endpoint_change>(
                            c.m_endpoints, write_endpoint_change)});
}

relayed_change read_change(const json& j)
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

template <>
struct format<peer_declined>
{
    static constexpr const char* tag = "declined";

    static json write(const peer_declined& m)
    {
        return {{"name", m.m_name}};
    }
    static peer_declined read(const json& j)
    {
        return {j.at("name").get<std::string>()};
    }
};

// Loans are sent often; arrays without field names keep their parts short.
json write_part(const peer_loan_part& p)
{
    return json::array({p.m_id, p.m_units});
}

peer_loan_part read_part(const json& j)
{
    return {j.at(0).get<std::uint64_t>(), j.at(1).get<std::uint32_t>()};
}

json write_claim(const peer_loan_claim& c)
{
    return json::array({c.m_id, c.m_passed_by, c.m_units});
}

peer_loan_claim read_claim(const json& j)
{
    return {j.at(0).get<std::uint64_t>(), j.at(1).get<std::string>(),
            j.at(2).get<std::uint32_t>()};
}

json write_passed(const peer_passed_loan& p)
{
    return json::array({p.m_lender, p.m_id, p.m_units, p.m_time_left_ms});
}

peer_passed_loan read_passed(const json& j)
{
    return {j.at(0).get<std::string>(), j.at(1).get<std::uint64_t>(),
            j.at(2).get<std::uint32_t>(), j.at(3).get<std::uint64_t>()};
}

json write_claimed(const peer_claimed_loan& c)
{
    return json::array({write_claim(c.m_claim), c.m_id});
}

peer_claimed_loan read_claimed(const json& j)
{
    return {read_claim(j.at(0)), j.at(1).get<std::uint64_t>()};
}

share_kind read_kind(const json& j)
{
    const auto kind = j.get<std::uint8_t>();
    if (kind >= share_kind_count)
        throw peer_protocol_error();
    return static_cast<share_kind>(kind);
}

template <>
struct format<peer_loan_request>
{
    static constexpr const char* tag = "loan_ask";

    static json write(const peer_loan_request& m)
    {
        return {
            {"name", m.m_name},
            {"kind", static_cast<std::uint8_t>(m.m_kind)},
            {"resource", m.m_resource},
            {"wanted", m.m_wanted},
            {"held", m.m_held},
            {"demand", m.m_demand},
            {"renews", write_all<peer_loan_part>(m.m_renewals, write_part)},
            {"claims", write_all<peer_loan_claim>(m.m_claims, write_claim)}};
    }
    static peer_loan_request read(const json& j)
    {
        return {j.at("name").get<std::string>(),
                read_kind(j.at("kind")),
                j.at("resource").get<std::string>(),
                j.at("wanted").get<std::uint32_t>(),
                j.at("held").get<std::uint32_t>(),
                j.at("demand").get<double>(),
                read_all(j.at("renews"), read_part),
                read_all(j.at("claims"), read_claim)};
    }
};

template <>
struct format<peer_loan>
{
    static constexpr const char* tag = "loan";

    static json write(const peer_loan& m)
    {
        return {
            {"id", m.m_id},
            {"units", m.m_units},
            {"tokens", m.m_tokens},
            {"returned", write_all<peer_loan_part>(m.m_returned, write_part)},
            {"passed", write_all<peer_passed_loan>(m.m_passed, write_passed)},
            {"renewed", write_all<peer_loan_part>(m.m_renewed, write_part)},
            {"claimed",
             write_all<peer_claimed_loan>(m.m_claimed, write_claimed)}};
    }
    static peer_loan read(const json& j)
    {
        return {j.at("id").get<std::uint64_t>(),
                j.at("units").get<std::uint32_t>(),
                j.at("tokens").get<double>(),
                read_all(j.at("returned"), read_part),
                read_all(j.at("passed"), read_passed),
                read_all(j.at("renewed"), read_part),
                read_all(j.at("claimed"), read_claimed)};
    }
};

json write_known(const peer_known_revisions& k)
{
    json known =
        json::array({k.m_configuration, k.m_endpoints, k.m_evacuations});
    if (k.m_members != 0)
        known.push_back(k.m_members);
    return known;
}

peer_known_revisions read_known(const json& j)
{
    constexpr std::size_t size_without_members = 3;
    return {j.at(0).get<std::uint64_t>(), j.at(1).get<std::uint64_t>(),
            j.at(2).get<std::uint64_t>(),
            j.size() > size_without_members
                ? j.at(size_without_members).get<std::uint64_t>()
                : 0};
}

peer_settings_part read_part_of_settings(const json& j)
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

json write_list_base(const peer_list_base& b)
{
    return json::array({b.m_since, b.m_removed});
}

// Earlier builds send complete lists.
peer_list_base read_list_base(const json& j, const char* name)
{
    if (!j.contains(name))
        return {};
    const json& base = j[name];
    return {base.at(0).get<std::uint64_t>(),
            base.at(1).get<std::vector<std::string>>()};
}

json write_config_delta(const peer_config_delta& d)
{
    json edits = json::array();
    for (const text_edit& e : d.m_delta.m_edits)
        edits.push_back({e.m_from, e.m_length, e.m_text});
    return json::array({d.m_base_revision, d.m_revision, d.m_delta.m_base_hash,
                        std::move(edits)});
}

peer_config_delta read_config_delta(const json& j)
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

template <>
struct format<peer_status_request>
{
    static constexpr const char* tag = "status_wanted";

    static json write(const peer_status_request&)
    {
        return json::object();
    }
    static peer_status_request read(const json&)
    {
        return {};
    }
};

template <>
struct format<peer_status>
{
    static constexpr const char* tag = "status";

    static json write(const peer_status& m)
    {
        return {{"name", m.m_name},
                {"zone", m.m_zone},
                {"known", m.m_known_version},
                {"in_force", m.m_applied_version},
                {"standing", m.m_standing},
                {"state", m.m_state},
                {"refused", m.m_rejected_nodes},
                {"admin", m.m_admin_address}};
    }
    static peer_status read(const json& j)
    {
        return {j.at("name").get<std::string>(),
                j.at("zone").get<std::string>(),
                j.at("known").get<std::uint64_t>(),
                j.at("in_force").get<std::uint64_t>(),
                j.at("standing").get<std::string>(),
                j.at("state").get<std::string>(),
                j.at("refused").get<std::vector<std::string>>(),
                j.at("admin").get<std::string>()};
    }
};

template <>
struct format<peer_drain_request>
{
    static constexpr const char* tag = "drain_wanted";

    static json write(const peer_drain_request&)
    {
        return json::object();
    }
    static peer_drain_request read(const json&)
    {
        return {};
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

// The messages above nest six levels at the most.
constexpr std::size_t max_message_nesting = 16;

template <std::size_t Index = 0>
peer_message read_tagged(const std::string& tag, const json& body)
{
    if constexpr (Index == std::variant_size_v<peer_message>)
    {
        throw peer_protocol_error();
    }
    else
    {
        using message = std::variant_alternative_t<Index, peer_message>;
        if (tag == format<message>::tag)
            return format<message>::read(body);
        return read_tagged<Index + 1>(tag, body);
    }
}

}

std::string_view peer_message_kind(const peer_message& message) noexcept
{
    return std::visit(
        [](const auto& m)
        {
            return std::string_view(format<std::decay_t<decltype(m)>>::tag);
        },
        message);
}

const char* peer_protocol_error::what() const noexcept
{
    return "malformed message from a peer";
}

std::string encode_peer_message(const peer_message& message)
{
    const json tagged = std::visit(
        [](const auto& m)
        {
            using message_format = format<std::decay_t<decltype(m)>>;
            return json::array({message_format::tag, message_format::write(m)});
        },
        message);
    std::string bytes;
    json::to_cbor(tagged, bytes);
    return bytes;
}

peer_message decode_peer_message(std::string_view bytes)
{
    // from_cbor() recurses into each array, down to the end of the stack.
    if (is_nested_beyond(bytes, max_message_nesting))
        throw peer_protocol_error();
    try
    {
        // from_cbor() throws for sizes beyond the available memory even with
        // exceptions disabled.
        const json tagged = json::from_cbor(bytes, true, false);
        if (!tagged.is_array() || tagged.size() != 2 || !tagged[0].is_string())
            throw peer_protocol_error();
        return read_tagged(tagged[0].get<std::string>(), tagged[1]);
    }
    catch (const json::exception&)
    {
        throw peer_protocol_error();
    }
}

}
