#include <support/caller.hpp>

#include <utility>

namespace bluebellspoke::support
{

namespace
{

constexpr std::string_view session_header = "x-bluebellspoke-session";

std::string text_field(const nlohmann::json& body, const char* field)
{
    return body.is_object() ? body.value(field, std::string()) : std::string();
}

header_list headers_of(const session& s)
{
    header_list headers;
    if (!s.m_key.empty())
        headers.emplace_back("authorization", "Bearer " + s.m_key);
    if (!s.m_token.empty())
        headers.emplace_back(session_header, s.m_token);
    return headers;
}

}

reply to_reply(http2_result& result)
{
    reply r;
    if (const auto* failure = std::get_if<http2_failure>(&result))
    {
        r.m_failure = *failure;
        return r;
    }
    auto& response = std::get<http2_response>(result);
    r.m_status = response.m_status;
    r.m_headers = std::move(response.m_headers);
    r.m_body = std::move(response.m_body);
    return r;
}

nlohmann::json reply::json() const
{
    nlohmann::json body = nlohmann::json::parse(m_body, nullptr, false);
    return body.is_discarded() ? nlohmann::json() : body;
}

std::string reply::error() const
{
    return text_field(json(), "error");
}

std::string reply::outcome() const
{
    return text_field(json(), "outcome");
}

caller::caller(const address& server, tls_context_ptr tls)
    : m_loop(make_loop()), m_client(m_loop, server, std::move(tls))
{
}

reply caller::send(http2_request request, std::chrono::milliseconds limit)
{
    std::vector<http2_request> requests;
    requests.push_back(std::move(request));
    return send_all(std::move(requests), limit).front();
}

std::vector<reply> caller::send_all(std::vector<http2_request> requests,
                                    std::chrono::milliseconds limit)
{
    std::vector<reply> replies(requests.size());
    std::size_t left = requests.size();
    for (std::size_t i = 0; i < requests.size(); ++i)
        m_client.send(std::move(requests[i]), limit,
                      [&, i](http2_result& result)
                      {
                          replies[i] = to_reply(result);
                          if (--left == 0)
                              stop(m_loop);
                      });
    while (left > 0)
        run(m_loop);
    return replies;
}

void caller::hang_up()
{
    m_client.reset();
    timer soon(m_loop,
               [this]
               {
                   stop(m_loop);
               });
    soon.start_once(std::chrono::milliseconds(1));
    run(m_loop);
}

http2_request statement_request(const session& s, const nlohmann::json& body)
{
    return {"POST", "/v1/statement", headers_of(s), body.dump()};
}

http2_request begin_request(const session& s)
{
    return {"POST", "/v1/transactions", headers_of(s), {}};
}

http2_request end_request(const session& s, const std::string& transaction,
                          const std::string& verb)
{
    return {"POST",
            "/v1/transactions/" + transaction + "/" + verb,
            headers_of(s),
            {}};
}

void keep_token(session& s, const reply& r)
{
    const std::string_view token = find_header(r.m_headers, session_header);
    if (!token.empty())
        s.m_token = token;
}

reply run_statement(caller& c, session& s, const nlohmann::json& body)
{
    reply r = c.send(statement_request(s, body));
    keep_token(s, r);
    return r;
}

}
