#ifndef BLUEBELLSPOKE_DECIDE_SESSION_TOKEN_HPP
#define BLUEBELLSPOKE_DECIDE_SESSION_TOKEN_HPP

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <model/log_position.hpp>

namespace bluebellspoke
{

/// Where a session stands: it must see its group's log at least up to here.
struct session_mark
{
    std::string_view m_workspace;
    std::string_view m_group;
    log_position m_position;
};

/// Makes the token that a caller carries to any proxy. The secret is the
/// fleet's; the token can't be altered or used in another workspace.
std::string seal_session(const session_mark& mark, std::string_view secret);

/// Opens a token for this workspace and group with any of the fleet's
/// secrets, newest first. Returns nothing when it was not sealed for them.
std::optional<log_position> open_session(std::string_view token,
                                         std::string_view workspace,
                                         std::string_view group,
                                         std::span<const std::string> secrets);

}

#endif
