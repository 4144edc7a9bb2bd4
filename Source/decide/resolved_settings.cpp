#include <decide/resolved_settings.hpp>

#include <chrono>

#include <boost/algorithm/hex.hpp>
#include <openssl/evp.h>

#include <decide/sha256_algorithm.hpp>

#include <decide/settings_limits.hpp>

namespace bluebellspoke
{

namespace
{

using std::chrono::milliseconds;

// check_node() ensures that the text has the length of a digest.
sha256_digest from_hex(std::string_view text)
{
    sha256_digest digest{};
    boost::algorithm::unhex(text.substr(0, 2 * digest.size()), digest.begin());
    return digest;
}

duration inherit_ms(const settings_tree& tree, std::string_view path,
                    std::optional<std::uint32_t> node_settings::*field,
                    value_range<std::uint32_t> range)
{
    return milliseconds(inherit(tree, path, field, range.m_default).m_value);
}

resolved_workspace resolve_workspace(const settings_tree& tree,
                                     const std::string& path)
{
    resolved_workspace w;
    w.m_name = path;
    w.m_service =
        inherit(tree, path, &node_settings::m_service, std::string()).m_value;
    w.m_rate = inherit(tree, path, &node_settings::m_rate, rate_range.m_default)
                   .m_value;
    w.m_burst =
        inherit(tree, path, &node_settings::m_burst, burst_range.m_default)
            .m_value;
    w.m_weight =
        inherit(tree, path, &node_settings::m_weight, weight_range.m_default)
            .m_value;
    w.m_time_limit = inherit_ms(tree, path, &node_settings::m_time_limit_ms,
                                time_limit_range);
    w.m_confirm =
        inherit_ms(tree, path, &node_settings::m_confirm_ms, confirm_range);
    w.m_lag_wait =
        inherit_ms(tree, path, &node_settings::m_lag_wait_ms, lag_wait_range);
    w.m_queue_limit = inherit(tree, path, &node_settings::m_queue_limit,
                              queue_limit_range.m_default)
                          .m_value;
    w.m_open = tree.find(path)->second.m_own.m_open.value_or(false);
    return w;
}

resolved_group resolve_group(const settings_tree& tree, const std::string& path)
{
    resolved_group g;
    g.m_name = path;
    g.m_endpoints = tree.find(path)->second.m_own.m_endpoints;
    g.m_slots =
        inherit(tree, path, &node_settings::m_slots, slots_range.m_default)
            .m_value;
    g.m_connections = inherit(tree, path, &node_settings::m_connections,
                              connections_range.m_default)
                          .m_value;
    return g;
}

void add_keys(resolved_settings& view, const std::string& path,
              const node_settings& own)
{
    for (const key_setting& key : own.m_keys)
    {
        const sha256_digest digest = from_hex(key.m_sha256);
        const bool added =
            view.m_keys
                .emplace(digest,
                         resolved_key{digest, path, key.m_id, key.m_withdrawn})
                .second;
        if (!added)
            throw settings_error(settings_fault::duplicate_key, path, "keys");
    }
}

void check_parent(const settings_tree& tree, const std::string& path)
{
    const auto parent = parent_path(path);
    if (!parent || parent->empty())
        return;
    const auto node = tree.find(*parent);
    if (node == tree.end() || node->second.m_own.m_kind == node_kind::removed)
        throw settings_error(settings_fault::missing_parent, path, "path");
}

void check_services(const resolved_settings& view)
{
    for (const auto& [path, workspace] : view.m_workspaces)
        if (!view.m_groups.contains(workspace.m_service))
            throw settings_error(settings_fault::unknown_service, path,
                                 "service");
}

}

resolved_settings_ptr resolve_settings(const settings_tree& tree,
                                       std::uint64_t version)
{
    auto* view = new resolved_settings();
    resolved_settings_ptr result(view);
    view->m_version = version;
    for (const auto& [path, node] : tree)
    {
        check_node(path, node.m_own);
        if (node.m_own.m_kind != node_kind::removed)
            check_parent(tree, path);
        switch (node.m_own.m_kind.value_or(node_kind::branch))
        {
        case node_kind::branch:
        case node_kind::removed:
            break;
        case node_kind::workspace:
            view->m_workspaces.emplace(path, resolve_workspace(tree, path));
            add_keys(*view, path, node.m_own);
            break;
        case node_kind::service:
            view->m_groups.emplace(path, resolve_group(tree, path));
            break;
        case node_kind::zone:
            if (node.m_own.m_out.value_or(false))
                view->m_zones_out.emplace(path.substr(path.rfind('/') + 1));
            break;
        }
    }
    check_services(*view);
    return result;
}

sha256_digest sha256(std::string_view text)
{
    sha256_digest digest{};
    EVP_Digest(text.data(), text.size(), digest.data(), nullptr,
               sha256_algorithm(), nullptr);
    return digest;
}

}
