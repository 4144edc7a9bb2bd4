#include <store/settings_codec.hpp>

#include <limits>

#include <nlohmann/json.hpp>

namespace bluebellspoke
{

namespace
{

using nlohmann::json;

constexpr std::string_view root_name = "@";

struct node_reader
{
    std::string_view m_path;

    [[noreturn]] void refuse(settings_fault fault, std::string_view field) const
    {
        throw settings_error(fault, m_path, field);
    }

    std::string text(const json& value, std::string_view field) const
    {
        if (!value.is_string())
            refuse(settings_fault::wrong_type, field);
        return value.get<std::string>();
    }

    bool boolean(const json& value, std::string_view field) const
    {
        if (!value.is_boolean())
            refuse(settings_fault::wrong_type, field);
        return value.get<bool>();
    }

    double number(const json& value, std::string_view field) const
    {
        if (!value.is_number())
            refuse(settings_fault::wrong_type, field);
        return value.get<double>();
    }

    std::uint32_t count(const json& value, std::string_view field) const
    {
        if (!value.is_number_unsigned())
            refuse(settings_fault::wrong_type, field);
        if (value.get<std::uint64_t>() >
            std::numeric_limits<std::uint32_t>::max())
            refuse(settings_fault::out_of_range, field);
        return value.get<std::uint32_t>();
    }

    node_kind kind(const json& value) const
    {
        const std::string name = text(value, "kind");
        for (const node_kind k :
             {node_kind::branch, node_kind::workspace, node_kind::service,
              node_kind::zone, node_kind::removed})
            if (name == to_string(k))
                return k;
        refuse(settings_fault::out_of_range, "kind");
    }

    key_setting key(const json& value) const
    {
        if (!value.is_object())
            refuse(settings_fault::wrong_type, "keys");
        key_setting out;
        for (const auto& [field, content] : value.items())
        {
            if (field == "id")
                out.m_id = text(content, "keys.id");
            else if (field == "sha256")
                out.m_sha256 = text(content, "keys.sha256");
            else if (field == "withdrawn")
                out.m_withdrawn = boolean(content, "keys.withdrawn");
            else
                refuse(settings_fault::unknown_field, "keys." + field);
        }
        return out;
    }

    endpoint_setting endpoint(const json& value) const
    {
        if (!value.is_object())
            refuse(settings_fault::wrong_type, "endpoints");
        endpoint_setting out;
        for (const auto& [field, content] : value.items())
        {
            if (field == "name")
                out.m_name = text(content, "endpoints.name");
            else if (field == "address")
                out.m_address = text(content, "endpoints.address");
            else if (field == "zone")
                out.m_zone = text(content, "endpoints.zone");
            else if (field == "leaving")
                out.m_leaving = boolean(content, "endpoints.leaving");
            else
                refuse(settings_fault::unknown_field, "endpoints." + field);
        }
        return out;
    }

    const json& list(const json& value, std::string_view field) const
    {
        if (!value.is_array())
            refuse(settings_fault::wrong_type, field);
        return value;
    }
};

void read_field(const node_reader& r, node_settings& own,
                const std::string& field, const json& value)
{
    if (field == "kind")
        own.m_kind = r.kind(value);
    else if (field == "rate")
        own.m_rate = r.number(value, field);
    else if (field == "burst")
        own.m_burst = r.number(value, field);
    else if (field == "weight")
        own.m_weight = r.number(value, field);
    else if (field == "time_limit_ms")
        own.m_time_limit_ms = r.count(value, field);
    else if (field == "confirm_ms")
        own.m_confirm_ms = r.count(value, field);
    else if (field == "lag_wait_ms")
        own.m_lag_wait_ms = r.count(value, field);
    else if (field == "queue_limit")
        own.m_queue_limit = r.count(value, field);
    else if (field == "slots")
        own.m_slots = r.count(value, field);
    else if (field == "connections")
        own.m_connections = r.count(value, field);
    else if (field == "service")
        own.m_service = r.text(value, field);
    else if (field == "open")
        own.m_open = r.boolean(value, field);
    else if (field == "out")
        own.m_out = r.boolean(value, field);
    else if (field == "keys")
        for (const json& key : r.list(value, field))
            own.m_keys.push_back(r.key(key));
    else if (field == "endpoints")
        for (const json& endpoint : r.list(value, field))
            own.m_endpoints.push_back(r.endpoint(endpoint));
    else
        r.refuse(settings_fault::unknown_field, field);
}

template <class Value>
void put(json& out, const char* field, const std::optional<Value>& value)
{
    if (value)
        out[field] = *value;
}

}

std::string settings_object_name(std::string_view path)
{
    return std::string(settings_prefix).append(path.empty() ? root_name : path);
}

std::string settings_path(std::string_view object_name)
{
    object_name.remove_prefix(settings_prefix.size());
    return object_name == root_name ? std::string() : std::string(object_name);
}

node_settings decode_node(std::string_view path, std::string_view text)
{
    const node_reader r{path};
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object())
        r.refuse(settings_fault::malformed, "body");
    node_settings own;
    for (const auto& [field, value] : body.items())
        read_field(r, own, field, value);
    check_node(path, own);
    return own;
}

std::string encode_node(const node_settings& own)
{
    json out = json::object();
    if (own.m_kind)
        out["kind"] = to_string(*own.m_kind);
    put(out, "rate", own.m_rate);
    put(out, "burst", own.m_burst);
    put(out, "weight", own.m_weight);
    put(out, "time_limit_ms", own.m_time_limit_ms);
    put(out, "confirm_ms", own.m_confirm_ms);
    put(out, "lag_wait_ms", own.m_lag_wait_ms);
    put(out, "queue_limit", own.m_queue_limit);
    put(out, "slots", own.m_slots);
    put(out, "connections", own.m_connections);
    put(out, "service", own.m_service);
    put(out, "open", own.m_open);
    put(out, "out", own.m_out);
    for (const key_setting& key : own.m_keys)
        out["keys"].push_back({{"id", key.m_id},
                               {"sha256", key.m_sha256},
                               {"withdrawn", key.m_withdrawn}});
    for (const endpoint_setting& endpoint : own.m_endpoints)
        out["endpoints"].push_back({{"name", endpoint.m_name},
                                    {"address", endpoint.m_address},
                                    {"zone", endpoint.m_zone},
                                    {"leaving", endpoint.m_leaving}});
    return out.dump();
}

}
