#ifndef BLUEBELLSPOKE_DECIDE_ACCESS_HPP
#define BLUEBELLSPOKE_DECIDE_ACCESS_HPP

#include <string_view>

#include <decide/resolved_settings.hpp>
#include <model/statement.hpp>

namespace bluebellspoke
{

/// The workspace and key that a request runs under.
struct access_grant
{
    const resolved_workspace* m_workspace; ///< Owned by the settings.
    const resolved_key* m_key;             ///< Null for access without a key.
};

/// Returns the workspace that a key belongs to. Throws refusal_error if the
/// key is unknown or withdrawn.
access_grant check_key_access(const resolved_settings& view,
                              std::string_view key);

/// True if the key with this digest is valid for the workspace.
bool is_key_valid(const resolved_settings& view, const sha256_digest& key,
                  std::string_view workspace);

/// Returns an open workspace, which can be read without a key. Throws
/// refusal_error if there is no such workspace or the statement isn't a read.
access_grant check_open_access(const resolved_settings& view,
                               std::string_view workspace, statement_kind kind);

}

#endif
