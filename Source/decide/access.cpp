#include <decide/access.hpp>

#include <model/refusal.hpp>

namespace bluebellspoke
{

access_grant check_key_access(const resolved_settings& view,
                              std::string_view key)
{
    if (key.empty())
        throw refusal_error(refusal::unknown_key);
    const auto found = view.m_keys.find(sha256(key));
    if (found == view.m_keys.end())
        throw refusal_error(refusal::unknown_key);
    if (found->second.m_withdrawn)
        throw refusal_error(refusal::key_withdrawn);
    const auto workspace = view.m_workspaces.find(found->second.m_workspace);
    if (workspace == view.m_workspaces.end())
        throw refusal_error(refusal::unknown_key);
    return {&workspace->second, &found->second};
}

bool is_key_valid(const resolved_settings& view, const sha256_digest& key,
                  std::string_view workspace)
{
    const auto found = view.m_keys.find(key);
    return found != view.m_keys.end() && !found->second.m_withdrawn &&
           found->second.m_workspace == workspace &&
           view.m_workspaces.contains(workspace);
}

access_grant check_open_access(const resolved_settings& view,
                               std::string_view workspace, statement_kind kind)
{
    const auto found = view.m_workspaces.find(workspace);
    // The same error for a closed workspace and a missing one, so that a caller
    // without a key can't find out which workspaces exist.
    if (found == view.m_workspaces.end() || !found->second.m_open)
        throw refusal_error(refusal::not_found);
    if (kind != statement_kind::read)
        throw refusal_error(refusal::statement_not_allowed);
    return {&found->second, nullptr};
}

}
