#ifndef BLUEBELLSPOKE_DECIDE_ACCESS_HPP
#define BLUEBELLSPOKE_DECIDE_ACCESS_HPP

#include <string_view>

#include <decide/settings_view.hpp>
#include <model/statement.hpp>

namespace bluebellspoke
{

/// Who may run a request, found from the key that came with it.
struct access_grant
{
    const workspace_view* m_workspace; ///< Lives as long as the view.
    const key_view* m_key;             ///< Null on a route open to all.
};

/// Finds the workspace a key belongs to. Throws refused.
access_grant check_key_access(const settings_view& view, std::string_view key);

/// True while a key, known by its digest, may run requests of a workspace.
bool key_stands(const settings_view& view, const sha256_digest& key,
                std::string_view workspace);

/// Finds an open workspace by name; only reads may use it. Throws refused.
access_grant check_open_access(const settings_view& view,
                               std::string_view workspace, statement_kind kind);

}

#endif
