#ifndef BLUEBELLSPOKE_SUPPORT_CALLER_HPP
#define BLUEBELLSPOKE_SUPPORT_CALLER_HPP

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <wire/http2_client.hpp>

namespace bluebellspoke::support
{

/// What a caller got: a status and a body, or the failure instead of them.
struct reply
{
    int m_status = 0; ///< 0: no response.
    std::optional<http2_failure> m_failure;
    header_list m_headers;
    std::string m_body;

    /// The body as JSON; null when it is none.
    nlohmann::json json() const;
    /// The refusal's name, or an empty text.
    std::string error() const;
    /// not_run, outcome_unknown, or an empty text.
    std::string outcome() const;
};

reply to_reply(http2_result& result);

/// A caller that waits for each answer.
class caller
{
public:
    explicit caller(const address& server, tls_context_ptr tls = {});

    reply send(http2_request request,
               std::chrono::milliseconds limit = std::chrono::seconds(20));
    /// Sends all at once and waits for every reply, in the order asked.
    std::vector<reply>
    send_all(std::vector<http2_request> requests,
             std::chrono::milliseconds limit = std::chrono::seconds(20));
    /// Drops the connection, as a caller that goes away.
    void hang_up();

private:
    loop m_loop;
    http2_client m_client;
};

/// A session of one workspace's caller; carries the token from reply to reply.
struct session
{
    std::string m_key;
    std::string m_token;
};

http2_request statement_request(const session& s, const nlohmann::json& body);
http2_request begin_request(const session& s);
http2_request end_request(const session& s, const std::string& transaction,
                          const std::string& verb);
/// Takes over the session token that a reply brings, if it brings one.
void keep_token(session& s, const reply& r);
/// Sends a statement and keeps the new session token.
reply run_statement(caller& c, session& s, const nlohmann::json& body);

}

#endif
