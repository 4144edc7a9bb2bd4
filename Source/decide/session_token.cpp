#include <decide/session_token.hpp>

#include <array>
#include <charconv>
#include <cstdint>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <decide/sha256_algorithm.hpp>

namespace bluebellspoke
{

namespace
{

constexpr std::size_t number_digits = 16;
constexpr std::size_t tag_bytes = 16;
constexpr std::size_t tag_digits = 2 * tag_bytes;
constexpr std::size_t token_digits = 2 * number_digits + tag_digits;
constexpr int hex_base = 16;
constexpr std::string_view hex_digits = "0123456789abcdef";

void append_hex(std::string& out, std::uint64_t value)
{
    constexpr unsigned bits_per_digit = 4;
    for (std::size_t i = number_digits; i-- > 0;)
        out.push_back(hex_digits[value >> (i * bits_per_digit) & 0xfU]);
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

// The lengths go in first, so that no two pairs of names sign alike.
std::string tag_of(std::string_view body, std::string_view workspace,
                   std::string_view group, std::string_view secret)
{
    std::string signed_text;
    append_hex(signed_text, workspace.size());
    append_hex(signed_text, group.size());
    signed_text.append(workspace).append(group).append(body);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    HMAC(sha256_algorithm(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(signed_text.data()),
         signed_text.size(), digest.data(), &length);
    std::string tag;
    tag.reserve(tag_digits);
    for (std::size_t i = 0; i < tag_bytes; ++i)
    {
        tag.push_back(hex_digits[digest[i] >> 4U]);
        tag.push_back(hex_digits[digest[i] & 0xfU]);
    }
    return tag;
}

bool same(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}

std::string seal_session(const session_mark& mark, std::string_view secret)
{
    std::string token;
    token.reserve(token_digits);
    append_hex(token, mark.m_position.m_term);
    append_hex(token, mark.m_position.m_offset);
    token.append(tag_of(token, mark.m_workspace, mark.m_group, secret));
    return token;
}

std::optional<log_position> open_session(std::string_view token,
                                         std::string_view workspace,
                                         std::string_view group,
                                         std::span<const std::string> secrets)
{
    if (token.size() != token_digits)
        return std::nullopt;
    const std::string_view body = token.substr(0, 2 * number_digits);
    const std::string_view tag = token.substr(2 * number_digits);
    for (const std::string& secret : secrets)
    {
        if (!same(tag, tag_of(body, workspace, group, secret)))
            continue;
        const auto term = read_hex(body.substr(0, number_digits));
        const auto offset = read_hex(body.substr(number_digits));
        if (!term || !offset)
            return std::nullopt;
        return log_position{*term, *offset};
    }
    return std::nullopt;
}

}
