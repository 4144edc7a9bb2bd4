#ifndef BLUEBELLSPOKE_PEER_DAEMON_FORMATS_HPP
#define BLUEBELLSPOKE_PEER_DAEMON_FORMATS_HPP

#include <string>
#include <vector>

#include <peer/message_format.hpp>
#include <peer/peer_message.hpp>

/// What daemons with their own front end tell each other.
namespace bluebellspoke::peer_format
{

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
inline json write_part(const peer_loan_part& p)
{
    return json::array({p.m_id, p.m_units});
}

inline peer_loan_part read_part(const json& j)
{
    return {j.at(0).get<std::uint64_t>(), j.at(1).get<std::uint32_t>()};
}

inline json write_claim(const peer_loan_claim& c)
{
    return json::array({c.m_id, c.m_passed_by, c.m_units});
}

inline peer_loan_claim read_claim(const json& j)
{
    return {j.at(0).get<std::uint64_t>(), j.at(1).get<std::string>(),
            j.at(2).get<std::uint32_t>()};
}

inline json write_passed(const peer_passed_loan& p)
{
    return json::array({p.m_lender, p.m_id, p.m_units, p.m_time_left_ms});
}

inline peer_passed_loan read_passed(const json& j)
{
    return {j.at(0).get<std::string>(), j.at(1).get<std::uint64_t>(),
            j.at(2).get<std::uint32_t>(), j.at(3).get<std::uint64_t>()};
}

inline json write_claimed(const peer_claimed_loan& c)
{
    return json::array({write_claim(c.m_claim), c.m_id});
}

inline peer_claimed_loan read_claimed(const json& j)
{
    return {read_claim(j.at(0)), j.at(1).get<std::uint64_t>()};
}

inline share_kind read_kind(const json& j)
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

}

#endif
