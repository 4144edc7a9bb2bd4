#ifndef BLUEBELLSPOKE_DECIDE_SESSION_TOKEN_HPP
#define BLUEBELLSPOKE_DECIDE_SESSION_TOKEN_HPP

#include <exception>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <openssl/evp.h>

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

/// The library could not sign.
class session_key_error : public std::exception
{
public:
    const char* what() const noexcept override;
};

struct mac_context_deleter
{
    void operator()(EVP_MAC_CTX* context) const noexcept
    {
        EVP_MAC_CTX_free(context);
    }
};
using mac_context_ptr = std::unique_ptr<EVP_MAC_CTX, mac_context_deleter>;

/// The fleet's secrets, newest first, made ready for use once.
struct session_keys
{
    /// Throws session_key_error.
    explicit session_keys(std::span<const std::string> secrets);

    std::vector<mac_context_ptr> m_newest_first;
};

/// Makes the token that a caller carries to any proxy. The secret is the
/// fleet's; the token can't be altered or used in another workspace. There must
/// be a key: the newest seals. Throws session_key_error.
std::string seal_session(const session_mark& mark, const session_keys& keys);
std::string seal_session(const session_mark& mark, std::string_view secret);

/// Opens a token for this workspace and group with any of the fleet's
/// secrets, newest first. Returns nothing when it was not sealed for them.
std::optional<log_position> open_session(std::string_view token,
                                         std::string_view workspace,
                                         std::string_view group,
                                         const session_keys& keys);
std::optional<log_position> open_session(std::string_view token,
                                         std::string_view workspace,
                                         std::string_view group,
                                         std::span<const std::string> secrets);

}

#endif
