#ifndef BLUEBELLSPOKE_DECIDE_ACCESS_HPP
#define BLUEBELLSPOKE_DECIDE_ACCESS_HPP

#include <string_view>

#include <decide/settings_view.hpp>
#include <model/statement.hpp>

namespace bluebellspoke
{

/// The workspace and key that a request runs under.
struct access_grant
{
    const workspace_view* m_workspace; ///< Owned by the settings.
    const key_view* m_key;             ///< Null for access without a key.
};

/// Returns the workspace that a key belongs to. Throws refusal_error if the
/// key is unknown or withdrawn.
access_grant check_key_access(const settings_view& view, std::string_view key);

/// True if the key with this digest is valid for the workspace.
bool key_stands(const settings_view& view, const sha256_digest& key,
                std::string_view workspace);

/// Returns an open workspace, which can be read without a key. Throws
/// refusal_error if there is no such workspace or the statement isn't a read.
access_grant check_open_access(const settings_view& view,
                               std::string_view workspace, statement_kind kind);

}

#endif
