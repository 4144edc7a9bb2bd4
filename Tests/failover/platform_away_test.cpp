#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "stories.hpp"

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

SCENARIO("A primary is lost while the platform has troubles")
{
    const std::string mode = GENERATE("down", "silent", "slow", "lose_answers");
    CAPTURE(mode);

    GIVEN("a ward whose report was acknowledged")
    {
        ward w({.m_daemons = 3, .m_lag_ms = 10, .m_relays = true});
        caller clerk(w.m_fleet.m_daemons[0].m_callers);
        REQUIRE(run_statement(clerk, w.m_clerk, insert_bear("box-1", "r-1"))
                    .m_status == 200);

        WHEN("the primary is cut off and a daemon is killed as well")
        {
            set_platform_fault(w.m_fleet, {{"mode", mode}, {"delay_ms", 1500}});
            w.m_fleet.m_daemons[2].m_process->send_signal(SIGKILL);
            w.m_fleet.m_endpoints[0].m_relay->cut(true, true);

            THEN("writes go on within the target and none is lost or doubled")
            {
                REQUIRE(write_gap(clerk, w.m_clerk, "box-2") < failover_target);
                REQUIRE(primary_seen_by(w.m_fleet.m_daemons[0]) != 0U);
                const reply again = run_statement(clerk, w.m_clerk,
                                                  insert_bear("box-1", "r-1"));
                REQUIRE(again.json().at("first_outcome") == true);
            }
        }
    }
}

SCENARIO("A daemon is paused in the middle of a promotion")
{
    GIVEN("a ward, and every daemon in turn")
    {
        const std::size_t paused = GENERATE(0U, 1U);
        CAPTURE(paused);
        ward w({.m_daemons = 2, .m_lag_ms = 10, .m_relays = true});
        daemon_node& sleeper = w.m_fleet.m_daemons[paused];
        daemon_node& awake = w.m_fleet.m_daemons[1 - paused];
        caller clerk(awake.m_callers);
        REQUIRE(run_statement(clerk, w.m_clerk, insert_bear("box-1", "r-1"))
                    .m_status == 200);

        WHEN("it sleeps past its lease while another promotes")
        {
            w.m_fleet.m_endpoints[0].m_process->send_signal(SIGKILL);
            std::this_thread::sleep_for(std::chrono::milliseconds(1100));
            sleeper.m_process->send_signal(SIGSTOP);
            REQUIRE(write_gap(clerk, w.m_clerk, "box-2") < failover_target);
            const auto primary = primary_seen_by(awake);
            REQUIRE(primary.has_value());
            const json led = endpoint_seen_by(awake, *primary);
            sleeper.m_process->send_signal(SIGCONT);

            THEN("it changes nothing when it wakes")
            {
                REQUIRE(eventually(
                    [&]
                    {
                        return primary_seen_by(sleeper) == primary;
                    },
                    failover_target));
                CAPTURE(dump_of(awake).dump(), dump_of(sleeper).dump());
                REQUIRE(primary_seen_by(awake) == primary);
                REQUIRE(endpoint_seen_by(awake, *primary).at("fence") ==
                        led.at("fence"));
                caller late(sleeper.m_callers);
                REQUIRE(run_statement(late, w.m_clerk, find_bear("box-1"))
                            .json()
                            .at("rows")
                            .size() == 1);
            }
        }
    }
}

SCENARIO("Operators take the primary's place out of service")
{
    GIVEN("a ward over three zones")
    {
        ward w({.m_daemons = 2, .m_zones = 3, .m_lag_ms = 10});
        // The first daemon is in the zone that is taken out.
        const daemon_node& d = w.m_fleet.m_daemons[1];
        caller clerk(d.m_callers);
        REQUIRE(run_statement(clerk, w.m_clerk, insert_bear("box-1", "r-1"))
                    .m_status == 200);

        WHEN("the primary's zone is taken out")
        {
            put_node(w.m_fleet, "zone-1", {{"kind", "zone"}, {"out", true}});

            THEN("another endpoint leads and nothing is lost")
            {
                REQUIRE(primary_moves_from(d, 0));
                REQUIRE(
                    run_statement(clerk, w.m_clerk, insert_bear("box-2", "r-2"))
                        .m_status == 200);
                REQUIRE(run_statement(clerk, w.m_clerk, find_bear("box-1"))
                            .json()
                            .at("rows")
                            .size() == 1);
            }
        }
    }
}
