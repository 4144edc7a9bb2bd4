#ifndef BLUEBELLSPOKE_PEER_PEER_CALL_HPP
#define BLUEBELLSPOKE_PEER_PEER_CALL_HPP

#include <chrono>
#include <functional>
#include <optional>
#include <string_view>

#include <peer/peer_message.hpp>
#include <wire/http2_client.hpp>
#include <wire/http2_server.hpp>

namespace bluebellspoke
{

/// Where a process takes its peers' messages.
inline constexpr std::string_view peer_path = "/peer";
/// A peer that hasn't answered by then doesn't.
inline constexpr std::chrono::seconds peer_limit{1};

/// Nothing: no answer came, or none that can be read.
using peer_done = std::function<void(std::optional<peer_message>&)>;

/// Sends one message and takes its answer.
void call_peer(http2_client& peer, const peer_message& message, peer_done done);
void answer_peer(http2_server& server, exchange_id exchange,
                 const peer_message& message);
/// The message of a request, or nothing once it has been refused as unreadable.
std::optional<peer_message> take_peer_request(http2_server& server,
                                              const arrived_request& arrived);

}

#endif
