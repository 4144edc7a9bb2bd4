#ifndef BLUEBELLSPOKE_PEER_PEER_CALL_HPP
#define BLUEBELLSPOKE_PEER_PEER_CALL_HPP

#include <chrono>
#include <cstddef>
#include <exception>
#include <functional>
#include <optional>
#include <string_view>

#include <peer/peer_message.hpp>
#include <wire/http2_client.hpp>
#include <wire/http2_server.hpp>

namespace bluebellspoke
{

/// HTTP path for messages from peers.
inline constexpr std::string_view peer_path = "/peer";
/// Timeout of a call to a peer.
inline constexpr std::chrono::seconds peer_call_timeout{1};

/// Receives the answer, or nothing if none arrived or it can't be decoded.
using peer_callback = std::function<void(std::optional<peer_message>&)>;

/// Receives an unexpected exception.
using peer_failed = std::function<void(const std::exception&)>;

/// Sends one message and passes its answer to `done`. Returns the message's
/// size in bytes.
///
/// An exception while the answer is read or handled is passed to `failed`, and
/// `done` is called again, without an answer. If `failed` is empty, it leaves
/// the loop.
std::size_t call_peer(http2_client& peer, const peer_message& message,
                      peer_callback done, peer_failed failed = {});
/// Answers a peer's request with `message`. Returns its size in bytes.
std::size_t answer_peer(http2_server& server, exchange_id exchange,
                        const peer_message& message);
/// Decodes the message of a request. Answers a malformed request with status
/// 400 and returns nothing.
std::optional<peer_message> decode_peer_request(http2_server& server,
                                                const arrived_request& request);

}

#endif
