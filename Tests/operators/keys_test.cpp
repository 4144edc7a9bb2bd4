#include <fstream>
#include <sstream>
#include <thread>

#include <catch2/catch.hpp>
#include <operators/ward.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

TEST_CASE("A withdrawn key stops working")
{
    ward w({.m_daemons = 2, .m_endpoints = 1, .m_service_us = 3'000'000});
    fleet& f = w.m_fleet;
    caller& c = *w.m_callers[0];

    GIVEN("an open transaction of the key")
    {
        const std::string id =
            c.send(begin_request(w.m_clerk)).json().at("transaction");

        WHEN("the key is withdrawn")
        {
            REQUIRE(ctl(f, {"withdraw", "ward", "clerk"}).m_code == 0);
            THEN("the transaction ends without a word from its caller")
            {
                REQUIRE(eventually(
                    [&]
                    {
                        return dump_of(f.m_daemons[0])
                                   .at("pool")
                                   .at("transactions") == 0;
                    }));
                const reply late = c.send(end_request(w.m_clerk, id, "commit"));
                REQUIRE(late.error() == "key_withdrawn");
                REQUIRE(late.outcome() == "not_run");
            }
        }
    }

    GIVEN("statements that run and wait while the key is withdrawn")
    {
        std::vector<http2_request> requests;
        for (int i = 0; i < 12; ++i)
            requests.push_back(statement_request(
                w.m_clerk, write_bear("bear-" + std::to_string(i))));
        // The withdrawal goes by the same platform while the caller waits.
        std::vector<reply> replies;
        int withdrawn = -1;
        std::thread operators(
            [&]
            {
                const bool busy = eventually(
                    [&]
                    {
                        return dump_of(f.m_daemons[0])
                                   .at("pool")
                                   .at("requests") == 12;
                    });
                withdrawn =
                    busy ? ctl(f, {"withdraw", "ward", "clerk"}).m_code : -1;
            });
        replies = c.send_all(std::move(requests));
        operators.join();
        REQUIRE(withdrawn == 0);

        THEN("each is refused, and what did not run is told apart")
        {
            std::size_t unsent = 0;
            for (const reply& r : replies)
            {
                REQUIRE(r.error() == "key_withdrawn");
                unsent += r.outcome() == "not_run" ? 1 : 0;
            }
            REQUIRE(unsent >= 12 - f.m_options.m_slots);
        }
    }
}
