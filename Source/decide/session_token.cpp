#include <decide/session_token.hpp>

#include <array>
#include <charconv>
#include <cstdint>

#include <boost/algorithm/hex.hpp>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

namespace bluebellspoke
{

namespace
{

constexpr std::size_t number_digits = 16;
constexpr std::size_t tag_bytes = 16; // The HMAC is truncated to this length.
constexpr std::size_t tag_digits = 2 * tag_bytes;
constexpr std::size_t token_digits = 2 * number_digits + tag_digits;
constexpr int hex_base = 16;
constexpr std::string_view hex_digits = "0123456789abcdef";

void append_hex(std::string& out, std::uint64_t value)
{
    constexpr unsigned bits_per_digit = 4;
    std::array<char, number_digits> digits{};
    for (auto digit = digits.rbegin(); digit != digits.rend(); ++digit)
    {
        *digit = hex_digits[value & 0xfU];
        value >>= bits_per_digit;
    }
    out.append(digits.data(), digits.size());
}

std::optional<std::uint64_t> read_hex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(
        text.data(), text.data() + text.size(), value, hex_base);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

// Called once per secret: to fetch the algorithm and to hash the padded key
// cost more than to sign a token.
mac_context_ptr make_mac_context(std::string_view secret)
{
    EVP_MAC* algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    mac_context_ptr context(EVP_MAC_CTX_new(algorithm));
    EVP_MAC_free(algorithm);
    if (!context)
        throw session_key_error();
    std::string digest = "SHA256";
    const std::array parameters{
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest.data(),
                                         digest.size()),
        OSSL_PARAM_construct_end()};
    if (EVP_MAC_init(context.get(),
                     reinterpret_cast<const unsigned char*>(secret.data()),
                     secret.size(), parameters.data()) != 1)
        throw session_key_error();
    return context;
}

// The lengths are signed too. Without them, "ab" + "c" and "a" + "bc" would
// have the same tag.
std::string compute_tag(std::string_view body, std::string_view workspace,
                        std::string_view group, EVP_MAC_CTX* key)
{
    std::string signed_text;
    signed_text.reserve(2 * number_digits + workspace.size() + group.size() +
                        body.size());
    append_hex(signed_text, workspace.size());
    append_hex(signed_text, group.size());
    signed_text.append(workspace).append(group).append(body);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    std::size_t length = 0;
    // A null key restarts the computation with the key that the context holds.
    const bool succeeded =
        EVP_MAC_init(key, nullptr, 0, nullptr) == 1 &&
        EVP_MAC_update(
            key, reinterpret_cast<const unsigned char*>(signed_text.data()),
            signed_text.size()) == 1 &&
        EVP_MAC_final(key, digest.data(), &length, digest.size()) == 1;
    if (!succeeded)
        throw session_key_error();
    std::string tag(tag_digits, '0');
    boost::algorithm::hex_lower(digest.begin(), digest.begin() + tag_bytes,
                                tag.begin());
    return tag;
}

// Takes the same time wherever the texts differ, so that a tag can't be guessed
// character by character.
bool equals_in_constant_time(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}

const char* session_key_error::what() const noexcept
{
    return "failed to compute the HMAC of a session token";
}

session_keys::session_keys(std::span<const std::string> secrets)
{
    m_contexts.reserve(secrets.size());
    for (const std::string& secret : secrets)
        m_contexts.push_back(make_mac_context(secret));
}

std::string make_session_token(const session_position& position,
                               const session_keys& keys)
{
    std::string token;
    token.reserve(token_digits);
    append_hex(token, position.m_position.m_term);
    append_hex(token, position.m_position.m_offset);
    token.append(compute_tag(token, position.m_workspace, position.m_group,
                             keys.m_contexts.front().get()));
    return token;
}

std::string make_session_token(const session_position& position,
                               std::string_view secret)
{
    const std::array secrets{std::string(secret)};
    return make_session_token(position, session_keys(secrets));
}

std::optional<log_position> verify_session_token(std::string_view token,
                                                 std::string_view workspace,
                                                 std::string_view group,
                                                 const session_keys& keys)
{
    if (token.size() != token_digits)
        return std::nullopt;
    const std::string_view body = token.substr(0, 2 * number_digits);
    const std::string_view tag = token.substr(2 * number_digits);
    for (const mac_context_ptr& key : keys.m_contexts)
    {
        if (!equals_in_constant_time(
                tag, compute_tag(body, workspace, group, key.get())))
            continue;
        const auto term = read_hex(body.substr(0, number_digits));
        const auto offset = read_hex(body.substr(number_digits));
        if (!term || !offset)
            return std::nullopt;
        return log_position{*term, *offset};
    }
    return std::nullopt;
}

std::optional<log_position>
verify_session_token(std::string_view token, std::string_view workspace,
                     std::string_view group,
                     std::span<const std::string> secrets)
{
    return verify_session_token(token, workspace, group, session_keys(secrets));
}

}
