#include <decide/settings_tree.hpp>

#include <algorithm>

#include <decide/settings_limits.hpp>

namespace bluebellspoke
{

namespace
{

template <class Value>
void check_range(std::string_view path, std::string_view field,
                 const std::optional<Value>& value, value_range<Value> range)
{
    if (value && !(*value >= range.m_least && *value <= range.m_most))
        throw settings_error(settings_fault::out_of_range, path, field);
}

void check_path(std::string_view path)
{
    constexpr std::size_t longest_path = 200;
    const auto allowed = [](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
               c == '/';
    };
    const bool has_outer_slash = path.starts_with('/') || path.ends_with('/');
    if (has_outer_slash || path.size() > longest_path ||
        path.find("//") != std::string_view::npos ||
        !std::all_of(path.begin(), path.end(), allowed))
        throw settings_error(settings_fault::bad_path, path, "path");
}

void check_key(std::string_view path, const key_setting& key)
{
    constexpr std::size_t sha256_digits = 64;
    const auto is_digit = [](char c)
    {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    };
    if (key.m_id.empty())
        throw settings_error(settings_fault::missing_field, path, "keys.id");
    if (key.m_sha256.size() != sha256_digits ||
        !std::all_of(key.m_sha256.begin(), key.m_sha256.end(), is_digit))
        throw settings_error(settings_fault::out_of_range, path, "keys.sha256");
}

}

std::string_view to_string(node_kind kind) noexcept
{
    switch (kind)
    {
    case node_kind::branch:
        return "branch";
    case node_kind::workspace:
        return "workspace";
    case node_kind::service:
        return "service";
    case node_kind::zone:
        return "zone";
    case node_kind::removed:
        return "removed";
    }
    return "branch";
}

std::string_view to_string(settings_fault fault) noexcept
{
    switch (fault)
    {
    case settings_fault::malformed:
        return "malformed";
    case settings_fault::unknown_field:
        return "unknown_field";
    case settings_fault::wrong_type:
        return "wrong_type";
    case settings_fault::out_of_range:
        return "out_of_range";
    case settings_fault::missing_field:
        return "missing_field";
    case settings_fault::missing_parent:
        return "missing_parent";
    case settings_fault::unknown_service:
        return "unknown_service";
    case settings_fault::duplicate_key:
        return "duplicate_key";
    case settings_fault::bad_path:
        return "bad_path";
    }
    return "malformed";
}

settings_error::settings_error(settings_fault fault, std::string_view path,
                               std::string_view field)
    : m_fault(fault), m_path(path), m_field(field)
{
    m_text.append("settings node '").append(path).append("': ");
    m_text.append(field).append(": ").append(to_string(fault));
}

const char* settings_error::what() const noexcept
{
    return m_text.c_str();
}

std::optional<std::string_view> parent_path(std::string_view path) noexcept
{
    if (path.empty())
        return std::nullopt;
    const std::size_t slash = path.rfind('/');
    if (slash == std::string_view::npos)
        return std::string_view();
    return path.substr(0, slash);
}

void check_node(std::string_view path, const node_settings& own)
{
    check_path(path);
    check_range(path, "rate", own.m_rate, rate_range);
    check_range(path, "burst", own.m_burst, burst_range);
    check_range(path, "weight", own.m_weight, weight_range);
    check_range(path, "time_limit_ms", own.m_time_limit_ms, time_limit_range);
    check_range(path, "confirm_ms", own.m_confirm_ms, confirm_range);
    check_range(path, "lag_wait_ms", own.m_lag_wait_ms, lag_wait_range);
    check_range(path, "queue_limit", own.m_queue_limit, queue_limit_range);
    check_range(path, "slots", own.m_slots, slots_range);
    check_range(path, "connections", own.m_connections, connections_range);
    const node_kind kind = own.m_kind.value_or(node_kind::branch);
    if (!own.m_keys.empty() && kind != node_kind::workspace)
        throw settings_error(settings_fault::unknown_field, path, "keys");
    if (!own.m_endpoints.empty() && kind != node_kind::service)
        throw settings_error(settings_fault::unknown_field, path, "endpoints");
    if (own.m_out && kind != node_kind::zone)
        throw settings_error(settings_fault::unknown_field, path, "out");
    for (const key_setting& key : own.m_keys)
        check_key(path, key);
    for (const endpoint_setting& endpoint : own.m_endpoints)
        if (endpoint.m_name.empty() || endpoint.m_address.empty())
            throw settings_error(settings_fault::missing_field, path,
                                 "endpoints.name");
}

}
