#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "stories.hpp"

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

SCENARIO("A transaction begins at a primary that was just replaced")
{
    const int round = GENERATE(range(0, 5));
    CAPTURE(round);

    GIVEN("a daemon that slept while another promoted")
    {
        ward w({.m_daemons = 2, .m_zones = 3, .m_lag_ms = 10});
        // The first daemon is in the zone that is taken out.
        daemon_node& sleeper = w.m_fleet.m_daemons[1];
        daemon_node& awake = w.m_fleet.m_daemons[0];
        caller clerk(sleeper.m_callers);
        REQUIRE(run_statement(clerk, w.m_clerk, insert_bear("box-1", "r-1"))
                    .m_status == 200);
        sleeper.m_process->send_signal(SIGSTOP);
        put_node_unchecked(w.m_fleet, "zone-1",
                           {{"kind", "zone"}, {"out", true}});
        REQUIRE(primary_moves_from(awake, 0));

        WHEN("it wakes to a begin")
        {
            reply begun;
            std::thread waker(
                [&]
                {
                    std::this_thread::sleep_for(std::chrono::milliseconds(50));
                    sleeper.m_process->send_signal(SIGCONT);
                });
            begun = clerk.send(begin_request(w.m_clerk));
            waker.join();

            THEN("the transaction is one of the new primary's")
            {
                CAPTURE(begun.m_body);
                REQUIRE(begun.m_status == 200);
                const std::string id = begun.json().at("transaction");
                json body = insert_bear("box-2", "");
                body.erase("request_id");
                body["transaction"] = id;
                REQUIRE(run_statement(clerk, w.m_clerk, body).m_status == 200);
                REQUIRE(
                    clerk.send(end_request(w.m_clerk, id, "commit")).m_status ==
                    200);
            }
        }
    }
}
