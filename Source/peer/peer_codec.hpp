#ifndef BLUEBELLSPOKE_PEER_PEER_CODEC_HPP
#define BLUEBELLSPOKE_PEER_PEER_CODEC_HPP

#include <exception>
#include <string>
#include <string_view>

#include <peer/peer_message.hpp>

namespace bluebellspoke
{

/// Bytes from a peer that hold no message.
class peer_protocol_error : public std::exception
{
public:
    const char* what() const noexcept override;
};

/// Messages as CBOR.
std::string encode_peer_message(const peer_message& message);
/// Throws peer_protocol_error.
peer_message decode_peer_message(std::string_view bytes);

}

#endif
