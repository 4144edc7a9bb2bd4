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

/// The log position that a session must see in a group of a workspace.
struct session_position
{
    std::string_view m_workspace;
    std::string_view m_group;
    log_position m_position;
};

/// Thrown when OpenSSL can't compute a signature.
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

/// The secrets of the fleet as initialized HMAC contexts, newest first. Holding
/// them ready avoids an initialization per token.
struct session_keys
{
    /// Throws session_key_error.
    explicit session_keys(std::span<const std::string> secrets);

    std::vector<mac_context_ptr> m_contexts;
};

/// Makes a token that a client can present to any proxy of the fleet. The token
/// is signed by the newest key, of which there must be at least one, so that it
/// can't be altered or used in another workspace. Throws session_key_error.
std::string make_session_token(const session_position& position,
                               const session_keys& keys);
std::string make_session_token(const session_position& position,
                               std::string_view secret);

/// Verifies a token with each of the fleet's secrets, newest first, and returns
/// its position. Returns nothing when it wasn't made for this workspace and
/// group. Throws session_key_error.
std::optional<log_position> verify_session_token(std::string_view token,
                                                 std::string_view workspace,
                                                 std::string_view group,
                                                 const session_keys& keys);
std::optional<log_position>
verify_session_token(std::string_view token, std::string_view workspace,
                     std::string_view group,
                     std::span<const std::string> secrets);

}

#endif
