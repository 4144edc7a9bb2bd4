#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <support/fleet.hpp>

#include "endpoint_question.hpp"

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

namespace
{

void send_many(const daemon_node& d, const session& s)
{
    caller c(d.m_callers);
    const json read{{"statement", "select 1"}, {"max_age_ms", 60'000}};
    constexpr std::size_t at_once = 40;
    for (int round = 0; round < 3; ++round)
        c.send_all(
            std::vector<http2_request>(at_once, statement_request(s, read)));
}

}

TEST_CASE("All daemons together stay within an endpoint's connections")
{
    GIVEN("three daemons before endpoints with room for twelve connections")
    {
        const fleet f({.m_daemons = 3,
                       .m_service_us = 2'000,
                       .m_slots = 12,
                       .m_connections = 12});
        put_node(f, "ward",
                 {{"kind", "workspace"},
                  {"service", "group"},
                  {"rate", 100'000},
                  {"burst", 100'000}});
        const session clerk{grant_key(f, "ward", "clerk"), {}};

        WHEN("each of them has more to do than connections")
        {
            std::vector<std::thread> senders;
            for (const daemon_node& d : f.m_daemons)
                senders.emplace_back(
                    [&]
                    {
                        send_many(d, clerk);
                    });
            for (std::thread& sender : senders)
                sender.join();

            THEN("no endpoint had to refuse a connection")
            {
                for (const endpoint_node& e : f.m_endpoints)
                    REQUIRE(refused_connections(e) == "0");
            }
        }
    }
}
