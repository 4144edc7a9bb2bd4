#ifndef BLUEBELLSPOKE_PEER_TEXT_DELTA_HPP
#define BLUEBELLSPOKE_PEER_TEXT_DELTA_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellspoke
{

/// A part of the base text, followed by new text.
struct text_edit
{
    std::uint64_t m_from = 0;   ///< Offset in the base, in bytes.
    std::uint64_t m_length = 0; ///< Bytes copied from there.
    std::string m_text;         ///< Appended after them.
};

/// A text as a sequence of edits of another one.
struct text_delta
{
    std::uint64_t m_base_hash = 0; ///< XXH3 of the base.
    std::vector<text_edit> m_edits = {};
};

/// Returns how to make `text` from `base`, or nothing if that would take more
/// than half of the bytes of `text`.
std::optional<text_delta> make_text_delta(std::string_view base,
                                          std::string_view text);
/// Returns the changed text, or nothing if the base is another one or an edit
/// lies outside of it.
std::optional<std::string> apply_text_delta(std::string_view base,
                                            const text_delta& delta);

}

#endif
