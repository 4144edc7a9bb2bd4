#include <peer/peer_call.hpp>

#include <utility>

#include <peer/peer_codec.hpp>

namespace bluebellspoke
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_malformed = 400;

void handle_result(const http2_result& result, const peer_callback& done)
{
    std::optional<peer_message> answer;
    const auto* response = std::get_if<http2_response>(&result);
    try
    {
        if (response != nullptr && response->m_status == status_ok)
            answer = decode_peer_message(response->m_body);
    }
    catch (const peer_protocol_error&)
    {
        answer.reset();
    }
    done(answer);
}

}

std::size_t call_peer(http2_client& peer, const peer_message& message,
                      peer_callback done, peer_failed failed)
{
    std::string body = encode_peer_message(message);
    const std::size_t bytes = body.size();
    peer.send({"POST", std::string(peer_path), {}, std::move(body)},
              peer_call_timeout,
              [done = std::move(done),
               failed = std::move(failed)](http2_result& result)
              {
                  if (!failed)
                      return handle_result(result, done);
                  try
                  {
                      handle_result(result, done);
                  }
                  catch (const std::exception& e)
                  {
                      failed(e);
                      std::optional<peer_message> none;
                      done(none);
                  }
              });
    return bytes;
}

std::size_t answer_peer(http2_server& server, exchange_id exchange,
                        const peer_message& message)
{
    http2_response response;
    response.m_status = status_ok;
    response.m_body = encode_peer_message(message);
    const std::size_t bytes = response.m_body.size();
    server.respond(exchange, std::move(response));
    return bytes;
}

std::optional<peer_message> decode_peer_request(http2_server& server,
                                                const arrived_request& request)
{
    try
    {
        return decode_peer_message(request.m_request.m_body);
    }
    catch (const peer_protocol_error&)
    {
        http2_response response;
        response.m_status = status_malformed;
        server.respond(request.m_exchange, std::move(response));
        return std::nullopt;
    }
}

}
