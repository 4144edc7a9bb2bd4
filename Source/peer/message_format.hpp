#ifndef BLUEBELLSPOKE_PEER_MESSAGE_FORMAT_HPP
#define BLUEBELLSPOKE_PEER_MESSAGE_FORMAT_HPP

#include <span>
#include <vector>

#include <nlohmann/json.hpp>

/// The formats of the messages between processes. peer_codec.cpp alone uses
/// them.
namespace bluebellspoke::peer_format
{

using nlohmann::json;

/// The tag on the wire, the encoder and the decoder of each message type.
template <class Message>
struct format;

template <class Value, class Write>
json write_all(std::span<const Value> values, Write write)
{
    json out = json::array();
    for (const Value& v : values)
        out.push_back(write(v));
    return out;
}

template <class Read>
auto read_all(const json& j, Read read)
{
    std::vector<decltype(read(j))> out;
    for (const json& value : j)
        out.push_back(read(value));
    return out;
}

}

#endif
