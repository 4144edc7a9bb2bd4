#include <memory>
#include <new>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <support/relay.hpp>
#include <wire/http2_client.hpp>
#include <wire/http2_server.hpp>

using namespace bluebellspoke;

namespace
{

constexpr std::chrono::seconds long_enough{20};
constexpr std::size_t large_bytes = 3U << 20U; ///< More than a socket takes.

/// A server that answers what its path says, and notes the rest.
struct talker
{
    explicit talker(loop& l) : m_loop(l)
    {
        http2_server_handlers handlers;
        handlers.m_on_request = [this](arrived_request& arrived)
        {
            take(arrived);
        };
        handlers.m_on_abandoned = [this](exchange_id exchange)
        {
            m_abandoned.push_back(exchange);
            stop(m_loop);
        };
        handlers.m_on_disconnect = [](connection_id) {};
        http2_server_limits limits;
        limits.m_body_bytes = 1000;
        m_server = std::make_unique<http2_server>(l, address{"127.0.0.1", 0},
                                                  limits, std::move(handlers));
    }

    void take(arrived_request& arrived)
    {
        m_arrived.push_back(arrived.m_exchange);
        const http2_request& request = arrived.m_request;
        if (arrived.m_oversized)
            m_server->respond(arrived.m_exchange, {413, {}, {}});
        else if (request.m_path == "/echo")
            m_server->respond(arrived.m_exchange,
                              {200, request.m_headers, request.m_body});
        else if (request.m_path == "/large")
            m_server->respond(arrived.m_exchange,
                              {200, {}, std::string(large_bytes, 'b')});
        else if (request.m_path == "/hang-up")
            m_server->disconnect(arrived.m_exchange.m_connection);
        else if (request.m_path == "/fail")
            throw std::bad_alloc();
        else if (request.m_path == "/late")
            stop(m_loop);
    }

    loop& m_loop;
    std::unique_ptr<http2_server> m_server;
    std::vector<exchange_id> m_arrived;
    std::vector<exchange_id> m_abandoned;
};

http2_result ask(loop& l, http2_client& client, const std::string& path,
                 const std::string& body = {}, duration limit = long_enough)
{
    std::optional<http2_result> kept;
    client.send({"POST", path, {{"x-name", "a"}}, body}, limit,
                [&](http2_result& result)
                {
                    kept = std::move(result);
                    stop(l);
                });
    while (!kept)
        run(l);
    return std::move(*kept);
}

int status_of(const http2_result& result)
{
    const auto* response = std::get_if<http2_response>(&result);
    return response == nullptr ? 0 : response->m_status;
}

bool failed_as(const http2_result& result, http2_failure failure)
{
    const auto* f = std::get_if<http2_failure>(&result);
    return f != nullptr && *f == failure;
}

}

TEST_CASE("Requests and responses find each other")
{
    loop l = make_loop();
    talker server(l);
    http2_client client(l, server.m_server->local());

    SECTION("headers and body arrive whole")
    {
        const http2_result result = ask(l, client, "/echo", "found bear");
        const auto& response = std::get<http2_response>(result);
        REQUIRE(response.m_status == 200);
        REQUIRE(response.m_body == "found bear");
        REQUIRE(find_header(response.m_headers, "x-name") == "a");
    }
    SECTION("a body past the limit is dropped and told")
    {
        REQUIRE(status_of(ask(l, client, "/echo", std::string(1001, 'x'))) ==
                413);
        REQUIRE(status_of(ask(l, client, "/echo", std::string(1000, 'x'))) ==
                200);
    }
    SECTION("an answer that the socket can't take at once comes whole")
    {
        const http2_result result = ask(l, client, "/large");
        const auto& response = std::get<http2_response>(result);
        REQUIRE(response.m_body == std::string(large_bytes, 'b'));
    }
    // The exception left the loop, and the process ended.
    SECTION("a request that meets an exception loses its connection only")
    {
        connection_id failed = 0;
        server.m_server->drop_failed(
            [&](connection_id id, const std::exception&)
            {
                failed = id;
            });
        http2_client other(l, server.m_server->local());
        REQUIRE(status_of(ask(l, other, "/echo")) == 200);
        REQUIRE(
            failed_as(ask(l, client, "/fail"), http2_failure::connection_lost));
        REQUIRE(failed == server.m_arrived.back().m_connection);
        REQUIRE(server.m_server->failed() == 1);
        REQUIRE(server.m_server->open_exchanges() == 0);
        REQUIRE(server.m_server->open_connections() == 1);
        REQUIRE(status_of(ask(l, other, "/echo")) == 200);
        REQUIRE(status_of(ask(l, client, "/echo")) == 200);
    }
    SECTION("answers given together come each to its own request")
    {
        std::vector<std::string> bodies(3);
        std::size_t left = bodies.size();
        for (std::string& body : bodies)
            client.send({"POST", "/late", {}, {}}, long_enough,
                        [&](http2_result& result)
                        {
                            body = std::get<http2_response>(result).m_body;
                            if (--left == 0)
                                stop(l);
                        });
        while (server.m_arrived.size() < bodies.size())
            run(l);
        for (std::size_t i = bodies.size(); i-- > 0;)
            REQUIRE(server.m_server->respond(server.m_arrived[i],
                                             {200, {}, std::to_string(i)}));
        while (left > 0)
            run(l);
        REQUIRE(bodies == std::vector<std::string>{"0", "1", "2"});
    }
    SECTION("an answer comes once, and to nobody but its own request")
    {
        REQUIRE(status_of(ask(l, client, "/echo")) == 200);
        const exchange_id answered = server.m_arrived.front();
        REQUIRE_FALSE(server.m_server->respond(answered, {200, {}, "late"}));
        ask(l, client, "/hang-up");
        REQUIRE(status_of(ask(l, client, "/echo")) == 200);
        REQUIRE(server.m_arrived.back().m_connection != answered.m_connection);
        REQUIRE_FALSE(server.m_server->respond(answered, {200, {}, "late"}));
    }
}

TEST_CASE("Each way to get no response has a name")
{
    loop l = make_loop();
    auto server = std::make_unique<talker>(l);
    const address where = server->m_server->local();
    http2_client client(l, where);

    SECTION("nobody listens: it was not sent")
    {
        server.reset();
        REQUIRE(failed_as(ask(l, client, "/echo"), http2_failure::not_sent));
    }
    SECTION("the connection ends: it may have been taken")
    {
        REQUIRE(failed_as(ask(l, client, "/hang-up"),
                          http2_failure::connection_lost));

        SECTION("and the next request opens another")
        {
            REQUIRE(status_of(ask(l, client, "/echo")) == 200);
        }
    }
    SECTION("the time is over: the server hears that nobody waits")
    {
        REQUIRE(status_of(ask(l, client, "/echo")) == 200);
        const http2_result result =
            ask(l, client, "/silent", {}, std::chrono::milliseconds(1));
        REQUIRE(failed_as(result, http2_failure::timed_out));
        while (server->m_abandoned.empty())
            run(l);
        REQUIRE(server->m_abandoned.front() == server->m_arrived.back());
        REQUIRE(server->m_server->open_exchanges() == 0);
    }
}

TEST_CASE("A client isn't kept on a connection that has gone silent")
{
    loop l = make_loop();
    talker server(l);
    support::relay network(server.m_server->local());
    http2_client client(l, network.local());
    constexpr std::chrono::milliseconds short_limit{200};
    REQUIRE(status_of(ask(l, client, "/echo")) == 200);
    const connection_id first = server.m_arrived.back().m_connection;

    SECTION("the open connection carries nothing any more")
    {
        network.silence_connections();
        std::size_t lost = 0;
        while (status_of(ask(l, client, "/echo", {}, short_limit)) != 200)
            REQUIRE(++lost < 20);

        SECTION("and requests are answered on a new one")
        {
            REQUIRE(server.m_arrived.back().m_connection != first);
        }
    }
    SECTION("only one answer is late")
    {
        REQUIRE(failed_as(ask(l, client, "/silent", {}, short_limit),
                          http2_failure::timed_out));
        for (std::size_t i = 0; i < 10; ++i)
            REQUIRE(failed_as(ask(l, client, "/silent", {}, short_limit),
                              http2_failure::timed_out));

        SECTION("and the connection is kept")
        {
            REQUIRE(status_of(ask(l, client, "/echo")) == 200);
            REQUIRE(server.m_arrived.back().m_connection == first);
        }
    }
}
