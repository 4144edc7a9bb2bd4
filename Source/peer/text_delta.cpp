#include <peer/text_delta.hpp>

#include <unordered_map>

#include <xxhash.h>

namespace bluebellspoke
{

namespace
{

// Bytes of an edit on the wire besides its text.
constexpr std::size_t edit_overhead = 12;
// A delta is made by another process, so its result needs a bound: the largest
// object that the store holds, with room for a larger setting.
constexpr std::size_t max_result_bytes = std::size_t{4} << 20U;

// Objects are the unit that changes in a configuration: a piece ends with each
// closing brace.
std::string_view first_piece(std::string_view text)
{
    const std::size_t end = text.find('}');
    return text.substr(0, end == std::string_view::npos ? end : end + 1);
}

std::unordered_map<std::string_view, std::size_t>
find_pieces(std::string_view base)
{
    std::unordered_map<std::string_view, std::size_t> offsets;
    for (std::size_t at = 0; at < base.size();)
    {
        const std::string_view piece = first_piece(base.substr(at));
        offsets.try_emplace(piece, at);
        at += piece.size();
    }
    return offsets;
}

void append_copy(std::vector<text_edit>& edits, std::size_t from,
                 std::size_t length)
{
    const bool continues = !edits.empty() && edits.back().m_text.empty() &&
                           edits.back().m_from + edits.back().m_length == from;
    if (!continues)
        edits.push_back({from, 0, {}});
    edits.back().m_length += length;
}

void append_text(std::vector<text_edit>& edits, std::string_view text)
{
    if (edits.empty())
        edits.push_back({});
    edits.back().m_text += text;
}

std::size_t size_on_wire(const std::vector<text_edit>& edits)
{
    std::size_t size = 0;
    for (const text_edit& e : edits)
        size += edit_overhead + e.m_text.size();
    return size;
}

}

std::optional<text_delta> make_text_delta(std::string_view base,
                                          std::string_view text)
{
    const auto offsets = find_pieces(base);
    const std::size_t most_bytes = text.size() / 2;
    text_delta delta{XXH3_64bits(base.data(), base.size()), {}};
    std::vector<text_edit>& edits = delta.m_edits;
    while (!text.empty())
    {
        const std::string_view piece = first_piece(text);
        text.remove_prefix(piece.size());
        const std::size_t next =
            edits.empty() ? 0 : edits.back().m_from + edits.back().m_length;
        // Equal pieces occur more than once; the one that continues the last
        // copy keeps the edits few.
        const bool continues =
            next <= base.size() && base.substr(next, piece.size()) == piece;
        const auto found = offsets.find(piece);
        if (continues)
            append_copy(edits, next, piece.size());
        else if (found != offsets.end())
            append_copy(edits, found->second, piece.size());
        else
            append_text(edits, piece);
    }
    if (size_on_wire(edits) > most_bytes)
        return std::nullopt;
    return delta;
}

std::optional<std::string> apply_text_delta(std::string_view base,
                                            const text_delta& delta)
{
    if (XXH3_64bits(base.data(), base.size()) != delta.m_base_hash)
        return std::nullopt;
    std::string text;
    for (const text_edit& e : delta.m_edits)
    {
        if (e.m_from > base.size() || e.m_length > base.size() - e.m_from ||
            text.size() + e.m_length + e.m_text.size() > max_result_bytes)
            return std::nullopt;
        text += base.substr(e.m_from, e.m_length);
        text += e.m_text;
    }
    return text;
}

}
