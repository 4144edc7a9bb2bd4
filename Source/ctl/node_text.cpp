#include <ctl/node_text.hpp>

#include <algorithm>

#include <decide/settings_limits.hpp>
#include <store/settings_codec.hpp>

namespace bluebellspoke
{

namespace
{

using nlohmann::ordered_json;

constexpr std::size_t field_column = 18;
constexpr std::size_t value_column = 34;

/// Where a field's value at a node comes from.
struct effective_field
{
    const char* m_name;
    ordered_json m_value;
    std::optional<std::string> m_from;
};

template <class Value>
effective_field
effective(const settings_tree& tree, std::string_view path, const char* name,
          std::optional<Value> node_settings::*field, Value fallback)
{
    auto found = inherit(tree, path, field, fallback);
    return {name, found.m_value, std::move(found.m_from)};
}

void add_workspace_fields(std::vector<effective_field>& fields,
                          const settings_tree& tree, std::string_view path)
{
    using n = node_settings;
    fields.push_back(
        effective(tree, path, "rate", &n::m_rate, rate_range.m_default));
    fields.push_back(
        effective(tree, path, "burst", &n::m_burst, burst_range.m_default));
    fields.push_back(
        effective(tree, path, "weight", &n::m_weight, weight_range.m_default));
    fields.push_back(effective(tree, path, "time_limit_ms", &n::m_time_limit_ms,
                               time_limit_range.m_default));
    fields.push_back(effective(tree, path, "confirm_ms", &n::m_confirm_ms,
                               confirm_range.m_default));
    fields.push_back(effective(tree, path, "lag_wait_ms", &n::m_lag_wait_ms,
                               lag_wait_range.m_default));
    fields.push_back(effective(tree, path, "queue_limit", &n::m_queue_limit,
                               queue_limit_range.m_default));
    fields.push_back(
        effective(tree, path, "service", &n::m_service, std::string()));
}

void add_service_fields(std::vector<effective_field>& fields,
                        const settings_tree& tree, std::string_view path)
{
    using n = node_settings;
    fields.push_back(
        effective(tree, path, "slots", &n::m_slots, slots_range.m_default));
    fields.push_back(effective(tree, path, "connections", &n::m_connections,
                               connections_range.m_default));
}

node_kind kind_of(const settings_tree& tree, std::string_view path)
{
    const auto node = tree.find(path);
    return node == tree.end()
               ? node_kind::branch
               : node->second.m_own.m_kind.value_or(node_kind::branch);
}

std::vector<effective_field> effective_fields(const settings_tree& tree,
                                              std::string_view path)
{
    const node_kind kind = kind_of(tree, path);
    std::vector<effective_field> fields;
    if (kind == node_kind::branch || kind == node_kind::workspace)
        add_workspace_fields(fields, tree, path);
    if (kind == node_kind::branch || kind == node_kind::service)
        add_service_fields(fields, tree, path);
    return fields;
}

std::string pad(std::string text, std::size_t column)
{
    text.resize(std::max(column, text.size() + 1), ' ');
    return text;
}

std::string print_source(const effective_field& field, std::string_view path)
{
    if (!field.m_from)
        return "default";
    return *field.m_from == path ? "own" : "from /" + *field.m_from;
}

std::string print_key(const key_setting& key)
{
    return "  key " + key.m_id + (key.m_withdrawn ? " withdrawn" : "") + "\n";
}

std::string print_endpoint(const endpoint_setting& e)
{
    return "  endpoint " + e.m_name + " at " + e.m_address + " in " + e.m_zone +
           (e.m_leaving ? ", leaving" : "") + "\n";
}

}

ordered_json describe_node(const settings_tree& tree, std::string_view path)
{
    ordered_json out;
    const auto node = tree.find(path);
    out["version"] = node == tree.end() ? 0 : node->second.m_version;
    out["kind"] = to_string(kind_of(tree, path));
    if (node != tree.end())
        out["own"] = ordered_json::parse(encode_node(node->second.m_own));
    ordered_json& held = out["effective"] = ordered_json::object();
    for (const effective_field& field : effective_fields(tree, path))
    {
        held[field.m_name]["value"] = field.m_value;
        held[field.m_name]["from"] =
            field.m_from ? ordered_json("/" + *field.m_from) : ordered_json();
    }
    return out;
}

std::string print_node(const settings_tree& tree, std::string_view path)
{
    const auto node = tree.find(path);
    std::string text = "/" + std::string(path) + "  ";
    text.append(to_string(kind_of(tree, path)));
    if (node != tree.end())
        text.append(", version ")
            .append(std::to_string(node->second.m_version));
    text.append("\n");
    for (const effective_field& field : effective_fields(tree, path))
        text.append(pad(pad("  " + std::string(field.m_name), field_column) +
                            field.m_value.dump(),
                        value_column))
            .append(print_source(field, path))
            .append("\n");
    if (node == tree.end())
        return text;
    const node_settings& own = node->second.m_own;
    if (own.m_open)
        text.append(*own.m_open ? "  open to all for reads\n" : "");
    if (own.m_out)
        text.append(*own.m_out ? "  out\n" : "  in\n");
    for (const key_setting& key : own.m_keys)
        text.append(print_key(key));
    for (const endpoint_setting& e : own.m_endpoints)
        text.append(print_endpoint(e));
    return text;
}

}
