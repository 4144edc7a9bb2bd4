#include <peer/peer_codec.hpp>

#include <array>

#include <nlohmann/json.hpp>

namespace bluebellspoke
{

namespace
{

using nlohmann::json;

// Each message type: its tag on the wire, and how it is written and read.
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
                {"platform_answers", m.m_platform_answers},
                {"confirmed_age_ms", m.m_confirmed_age_ms},
                {"draining", m.m_draining},
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

template <>
struct format<peer_settings_wanted>
{
    static constexpr const char* tag = "settings_wanted";

    static json write(const peer_settings_wanted& m)
    {
        return {{"after", m.m_after}};
    }
    static peer_settings_wanted read(const json& j)
    {
        return {j.at("after").get<std::uint64_t>()};
    }
};

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
        return {{"version", m.m_version},
                {"objects", std::move(objects)},
                {"vms", std::move(vms)},
                {"secrets", m.m_secrets}};
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
        return m;
    }
};

template <>
struct format<peer_status_wanted>
{
    static constexpr const char* tag = "status_wanted";

    static json write(const peer_status_wanted&)
    {
        return json::object();
    }
    static peer_status_wanted read(const json&)
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
        return {{"name", m.m_name},         {"zone", m.m_zone},
                {"known", m.m_known},       {"in_force", m.m_in_force},
                {"standing", m.m_standing}, {"state", m.m_state},
                {"refused", m.m_refused},   {"admin", m.m_admin}};
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
struct format<peer_drain_wanted>
{
    static constexpr const char* tag = "drain_wanted";

    static json write(const peer_drain_wanted&)
    {
        return json::object();
    }
    static peer_drain_wanted read(const json&)
    {
        return {};
    }
};

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

const char* peer_protocol_error::what() const noexcept
{
    return "bytes from a peer hold no message";
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
    try
    {
        // It throws for sizes past the memory's, also when told not to.
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
