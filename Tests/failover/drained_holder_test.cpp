#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdio>
#include <decide/promotion.hpp>
#include <thread>

#include "stories.hpp"

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;
using std::chrono::milliseconds;

namespace
{

/// The daemons in the order in which they may act on the group.
std::vector<daemon_node*> in_turn(fleet& f)
{
    std::vector<std::string> names;
    for (const daemon_node& d : f.m_daemons)
        names.push_back(d.m_name);
    std::vector<daemon_node*> order(f.m_daemons.size());
    for (daemon_node& d : f.m_daemons)
        order[rendezvous_rank("group", d.m_name, names)] = &d;
    return order;
}

std::string watch_state(const daemon_node& d)
{
    const json dump = dump_of(d);
    return dump.is_object() ? dump.at("pool").at("watches").at("group") : "";
}

std::string lease_holder(const fleet& f)
{
    caller c(f.m_platform_address);
    const json object =
        c.send({"GET", "/v1/objects/groups/group", {}, {}}).json();
    if (!object.is_object() || !object.contains("value"))
        return "";
    const json& value = object.at("value");
    const json record =
        value.is_string() ? json::parse(value.get<std::string>()) : value;
    return record.value("holder", "");
}

}

SCENARIO("A daemon is drained while its group has no primary")
{
    GIVEN("a ward whose first daemon in turn has nothing else to do")
    {
        ward w({.m_daemons = 2,
                .m_lag_ms = 10,
                .m_daemon_flags = {"--drain-grace-ms", "5000"},
                .m_relays = true});
        const std::vector<daemon_node*> order = in_turn(w.m_fleet);
        daemon_node& first = *order[0];
        const daemon_node& second = *order[1];
        caller clerk(second.m_callers);

        WHEN("it is told to go just before the primary is lost")
        {
            first.m_process->send_signal(SIGTERM);
            REQUIRE(eventually(
                [&]
                {
                    return admin_get(first, "/ready").m_status != 200;
                }));
            w.m_fleet.m_endpoints[0].m_process->send_signal(SIGKILL);

            THEN("it leaves the promotion to the other")
            {
                REQUIRE(eventually(
                    [&]
                    {
                        return watch_state(first) == "yielded";
                    },
                    failover_target));
                REQUIRE(write_gap(clerk, w.m_clerk, "box-1") < failover_target);
                REQUIRE(lease_holder(w.m_fleet).find(first.m_name) ==
                        std::string::npos);
            }
        }
    }
    GIVEN("a ward whose first daemon in turn claims the lease")
    {
        ward w({.m_daemons = 2,
                .m_lag_ms = 10,
                .m_daemon_flags = {"--drain-grace-ms", "0"},
                .m_relays = true});
        const std::vector<daemon_node*> order = in_turn(w.m_fleet);
        daemon_node& first = *order[0];
        const daemon_node& second = *order[1];
        caller clerk(second.m_callers);
        set_platform_fault(w.m_fleet, {{"mode", "slow"}, {"delay_ms", 250}});
        w.m_fleet.m_endpoints[0].m_process->send_signal(SIGKILL);
        REQUIRE(eventually(
            [&]
            {
                return watch_state(first) == "claiming";
            },
            failover_target));

        WHEN("it is told to go")
        {
            first.m_process->send_signal(SIGTERM);
            REQUIRE(first.m_process->wait() == 0);

            THEN("its claim is gone with it, and the other promotes")
            {
                REQUIRE(lease_holder(w.m_fleet).find(first.m_name) ==
                        std::string::npos);
                REQUIRE(write_gap(clerk, w.m_clerk, "box-1") < failover_target);
            }
        }
    }
    GIVEN("a ward with one daemon")
    {
        ward w({.m_daemons = 1,
                .m_lag_ms = 10,
                .m_daemon_flags = {"--drain-grace-ms", "5000"},
                .m_relays = true});
        const daemon_node& only = w.m_fleet.m_daemons[0];

        WHEN("it is told to go and the primary is lost")
        {
            only.m_process->send_signal(SIGTERM);
            w.m_fleet.m_endpoints[0].m_process->send_signal(SIGKILL);

            THEN("it promotes, as there is nobody else")
            {
                REQUIRE(primary_moves_from(only, 0));
            }
        }
    }
}

TEST_CASE("The gap when the daemon first in turn is drained", "[.measure]")
{
    std::printf("drained ms after the loss  platform  gap ms\n");
    for (const unsigned slow_ms : {0U, 250U})
        for (const unsigned after : {0U, 1000U, 1120U, 1250U, 1400U, 1550U})
        {
            ward w({.m_daemons = 2,
                    .m_lag_ms = 10,
                    .m_daemon_flags = {"--drain-grace-ms", "0"},
                    .m_relays = true});
            const std::vector<daemon_node*> order = in_turn(w.m_fleet);
            caller clerk(order[1]->m_callers);
            run_statement(clerk, w.m_clerk, insert_bear("box-1", "r-1"));
            if (slow_ms > 0)
                set_platform_fault(w.m_fleet,
                                   {{"mode", "slow"}, {"delay_ms", slow_ms}});
            w.m_fleet.m_endpoints[0].m_process->send_signal(SIGKILL);
            std::thread drain(
                [&]
                {
                    std::this_thread::sleep_for(milliseconds(after));
                    order[0]->m_process->send_signal(SIGTERM);
                });
            const milliseconds gap = write_gap(clerk, w.m_clerk, "box-2");
            drain.join();
            std::printf("%25u  %8u  %6lld\n", after, slow_ms,
                        static_cast<long long>(gap.count()));
            std::fflush(stdout);
        }
}
