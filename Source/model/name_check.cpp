#include <model/name_check.hpp>

#include <cstdint>

namespace bluebellspoke
{

namespace
{

constexpr unsigned first_printable = 0x21;
constexpr unsigned delete_character = 0x7f;

// A lead byte of UTF-8: its fixed bits, and the lowest code point that may be
// written in this length.
struct utf8_form
{
    unsigned m_mask;
    unsigned m_lead;
    std::size_t m_length;
    std::uint32_t m_lowest;
};

constexpr utf8_form forms[] = {{0xe0, 0xc0, 2, 0xa0}, // Below: C1 controls.
                               {0xf0, 0xe0, 3, 0x800},
                               {0xf8, 0xf0, 4, 0x10000}};

bool is_code_point(std::uint32_t value) noexcept
{
    constexpr std::uint32_t first_surrogate = 0xd800;
    constexpr std::uint32_t last_surrogate = 0xdfff;
    constexpr std::uint32_t last = 0x10ffff;
    return value <= last && (value < first_surrogate || value > last_surrogate);
}

// Returns the length of the character at the front of the text; 0 if it isn't
// allowed or isn't UTF-8.
std::size_t character_length(std::string_view text) noexcept
{
    const auto byte_at = [text](std::size_t i)
    {
        return static_cast<unsigned char>(text[i]);
    };
    const unsigned lead = byte_at(0);
    if (lead <= delete_character)
        return lead >= first_printable && lead != delete_character ? 1 : 0;
    for (const utf8_form& f : forms)
    {
        if ((lead & f.m_mask) != f.m_lead)
            continue;
        if (text.size() < f.m_length)
            return 0;
        std::uint32_t value = lead & ~f.m_mask;
        for (std::size_t i = 1; i < f.m_length; ++i)
        {
            if ((byte_at(i) & 0xc0U) != 0x80U)
                return 0;
            value = (value << 6U) | (byte_at(i) & 0x3fU);
        }
        return value >= f.m_lowest && is_code_point(value) ? f.m_length : 0;
    }
    return 0;
}

}

bool is_field(std::string_view text, std::size_t max_length) noexcept
{
    if (text.empty() || text.size() > max_length)
        return false;
    while (!text.empty())
    {
        const std::size_t length = character_length(text);
        if (length == 0)
            return false;
        text.remove_prefix(length);
    }
    return true;
}

bool is_name(std::string_view text) noexcept
{
    return is_field(text, max_name_length);
}

bool is_key(std::string_view text) noexcept
{
    return is_field(text, max_key_length);
}

}
