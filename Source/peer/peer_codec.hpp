#ifndef BLUEBELLSPOKE_PEER_PEER_CODEC_HPP
#define BLUEBELLSPOKE_PEER_PEER_CODEC_HPP

#include <exception>
#include <string>
#include <string_view>

#include <peer/peer_message.hpp>

namespace bluebellspoke
{

/// Bytes from a peer that can't be decoded as a message.
class peer_protocol_error : public std::exception
{
public:
    const char* what() const noexcept override;
};

/// The name of the message's type on the wire.
std::string_view peer_message_kind(const peer_message& message) noexcept;
/// Encodes a message as CBOR.
std::string encode_peer_message(const peer_message& message);
/// Decodes one message. Throws peer_protocol_error.
peer_message decode_peer_message(std::string_view bytes);

}

#endif
