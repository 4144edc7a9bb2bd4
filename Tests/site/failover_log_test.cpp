#include <map>
#include <string>

#include <catch2/catch.hpp>
#include <support/loopback.hpp>

#include "lone_failover_task.hpp"
#include "recorded_log.hpp"
#include "scripted_endpoint.hpp"

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using nlohmann::json;

// Guards against a member that joins a failover unseen: acknowledged commits
// were lost to such members, and no line told who had joined, or when.
SCENARIO("The list of endpoints changes during a failover")
{
    // Not paused, so that the failover goes on fencing for a while.
    const scripted_endpoint replica({"replica 3 3.10 0 0"});
    const std::map<std::string, address> group{{"i-1", free_address()},
                                               {"i-2", replica.local()},
                                               {"i-3", free_address()}};
    const recorded_log log;
    lone_failover_task t(group);

    GIVEN("a failover that fences the members")
    {
        t.report_silent("i-1", 3);
        REQUIRE(t.await(
            [&]
            {
                return replica.has_received("PAUSE 4");
            }));
        const auto changes = [&]
        {
            return log.events_named("takeover_member_changed");
        };
        const auto await_change = [&]
        {
            return t.await(
                [&]
                {
                    return !changes().empty();
                });
        };

        WHEN("a list without a change arrives, then one with another endpoint")
        {
            t.list(group);
            auto grown = group;
            grown["i-4"] = free_address();
            t.list(grown);

            THEN("the log names that endpoint, and what the failover does")
            {
                REQUIRE(await_change());
                REQUIRE(changes().size() == 1);
                const json line = changes().front();
                CHECK(line.at("service") == "ledger-db");
                CHECK(line.at("endpoint") == "i-4");
                CHECK(line.at("change") == "listed");
                CHECK(line.at("state") == "touching");
                CHECK(line.at("successor").get<std::string>().empty());
                CHECK(line.at("list_revision") == "0");
            }
        }
        WHEN("the primary vanishes from the list")
        {
            auto shrunk = group;
            shrunk.erase("i-1");
            t.list(shrunk);

            THEN("the log names it")
            {
                REQUIRE(await_change());
                CHECK(changes().front().at("endpoint") == "i-1");
                CHECK(changes().front().at("change") == "vanished");
            }
        }
    }
    GIVEN("no failover")
    {
        t.list({{"i-2", replica.local()}});
        t.report_silent("i-2", 3);
        REQUIRE(t.await(
            [&]
            {
                return !log.events_named("takeover_begun").empty();
            }));

        THEN(
            "the change has no such line, and the next failover names its list")
        {
            CHECK(log.events_named("takeover_member_changed").empty());
            const json begun = log.events_named("takeover_begun").front();
            CHECK(begun.at("list_revision") == "0");
            CHECK(begun.at("published_list_confirmed_ms_ago") == "never");
        }
    }
}
