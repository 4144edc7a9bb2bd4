#ifndef BLUEBELLSPOKE_MODEL_NAME_CHECK_HPP
#define BLUEBELLSPOKE_MODEL_NAME_CHECK_HPP

#include <cstddef>
#include <string_view>

namespace bluebellspoke
{

/// Longest name of a service, a workspace, a process and the like, in bytes.
inline constexpr std::size_t max_name_length = 512;
/// Longest API key, in bytes.
inline constexpr std::size_t max_key_length = 8192;

/// Returns true if the text is one field of a line: UTF-8 that is neither empty
/// nor too long, without spaces and control characters.
bool is_field(std::string_view text, std::size_t max_length) noexcept;
bool is_name(std::string_view text) noexcept;
bool is_key(std::string_view text) noexcept;

}

#endif
