#include <peer/peer_codec.hpp>

#include <nlohmann/json.hpp>
#include <peer/cell_formats.hpp>
#include <peer/daemon_formats.hpp>
#include <peer/group_formats.hpp>
#include <peer/nesting_depth.hpp>
#include <peer/settings_formats.hpp>

namespace bluebellspoke
{

namespace
{

using nlohmann::json;
using peer_format::format;

// The messages above nest six levels at the most.
constexpr std::size_t max_message_nesting = 16;

template <std::size_t Index = 0>
peer_message read_tagged(const std::string& tag, const json& body)
{
    if constexpr (Index == std::variant_size_v<peer_message>)
    {
        throw peer_protocol_error();
    }
    else
    {
        using message = std::variant_alternative_t<Index, peer_message>;
        if (tag == format<message>::tag)
            return format<message>::read(body);
        return read_tagged<Index + 1>(tag, body);
    }
}

}

std::string_view peer_message_kind(const peer_message& message) noexcept
{
    return std::visit(
        [](const auto& m)
        {
            return std::string_view(format<std::decay_t<decltype(m)>>::tag);
        },
        message);
}

const char* peer_protocol_error::what() const noexcept
{
    return "malformed message from a peer";
}

std::string encode_peer_message(const peer_message& message)
{
    const json tagged = std::visit(
        [](const auto& m)
        {
            using message_format = format<std::decay_t<decltype(m)>>;
            return json::array({message_format::tag, message_format::write(m)});
        },
        message);
    std::string bytes;
    json::to_cbor(tagged, bytes);
    return bytes;
}

peer_message decode_peer_message(std::string_view bytes)
{
    // from_cbor() recurses into each array, down to the end of the stack.
    if (is_nested_beyond(bytes, max_message_nesting))
        throw peer_protocol_error();
    try
    {
        // from_cbor() throws for sizes beyond the available memory even with
        // exceptions disabled.
        const json tagged = json::from_cbor(bytes, true, false);
        if (!tagged.is_array() || tagged.size() != 2 || !tagged[0].is_string())
            throw peer_protocol_error();
        return read_tagged(tagged[0].get<std::string>(), tagged[1]);
    }
    catch (const json::exception&)
    {
        throw peer_protocol_error();
    }
}

}
