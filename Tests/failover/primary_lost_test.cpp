#include <catch2/catch.hpp>
#include <csignal>

#include "stories.hpp"

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

namespace
{

enum class loss
{
    killed,
    frozen,
    cut,
    cut_one_way,
};

void lose(endpoint_node& e, loss how)
{
    switch (how)
    {
    case loss::killed:
        e.m_process->send_signal(SIGKILL);
        break;
    case loss::frozen:
        e.m_process->send_signal(SIGSTOP);
        break;
    case loss::cut:
        e.m_relay->cut(true, true);
        break;
    case loss::cut_one_way:
        e.m_relay->cut(false, true);
        break;
    }
}

void bring_back(endpoint_node& e, loss how)
{
    if (how == loss::frozen)
        e.m_process->send_signal(SIGCONT);
    else
        e.m_relay->heal();
}

bool follows(const daemon_node& d, std::size_t index, std::size_t primary)
{
    return eventually(
        [&]
        {
            const json e = endpoint_seen_by(d, index);
            const json p = endpoint_seen_by(d, primary);
            return e.value("role", "") == "replica" &&
                   e.at("fence") == p.at("fence") &&
                   e.at("received") == p.at("received");
        },
        failover_target);
}

}

SCENARIO("A primary is lost and the fleet promotes another")
{
    const auto how =
        GENERATE(loss::killed, loss::frozen, loss::cut, loss::cut_one_way);
    CAPTURE(static_cast<int>(how));

    GIVEN("a ward whose report was acknowledged")
    {
        ward w({.m_daemons = 2, .m_lag_ms = 10, .m_relays = true});
        caller first(w.m_fleet.m_daemons[0].m_callers);
        caller second(w.m_fleet.m_daemons[1].m_callers);
        REQUIRE(run_statement(first, w.m_clerk, insert_bear("box-1", "r-1"))
                    .m_status == 200);

        WHEN("the primary is lost")
        {
            lose(w.m_fleet.m_endpoints[0], how);

            THEN("writes go on within the target and nothing is lost")
            {
                REQUIRE(write_gap(first, w.m_clerk, "box-2") < failover_target);
                for (const daemon_node& d : w.m_fleet.m_daemons)
                    REQUIRE(primary_moves_from(d, 0));
                REQUIRE(run_statement(second, w.m_clerk, find_bear("box-1"))
                            .json()
                            .at("rows")
                            .size() == 1);
                const reply again = run_statement(second, w.m_clerk,
                                                  insert_bear("box-1", "r-1"));
                REQUIRE(again.json().at("first_outcome") == true);

                AND_WHEN("it comes back")
                {
                    if (how != loss::killed)
                    {
                        bring_back(w.m_fleet.m_endpoints[0], how);
                        const daemon_node& d = w.m_fleet.m_daemons[0];
                        const std::size_t primary = *primary_seen_by(d);

                        THEN("it follows the new primary")
                        {
                            REQUIRE(follows(d, 0, primary));
                        }
                    }
                }
            }
        }
    }
}
