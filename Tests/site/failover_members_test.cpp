#include <algorithm>
#include <chrono>
#include <map>
#include <string>

#include <catch2/catch.hpp>
#include <support/loopback.hpp>

#include "lone_failover_task.hpp"
#include "scripted_endpoint.hpp"

using namespace bluebellspoke;
using namespace bluebellspoke::support;

namespace
{

// Role, term, position, term for which it is paused, lag.
const std::string primary_status = "primary 3 3.10 0 0";
const std::string replica_status = "replica 3 3.10 0 0";
const std::string ahead_status = "replica 3 3.11 0 0";
const std::string ahead_paused_status = "replica 3 3.11 4 0";
const std::string stepped_down_status = "replica 3 3.10 0 0";
const std::string paused_status = "replica 3 3.10 4 0";
const std::string empty_status = "replica 0 0.0 4 0";

using group = std::map<std::string, address>;

// Pauses both replicas of a group whose primary doesn't answer.
void fence_replicas(lone_failover_task& t, scripted_endpoint& a,
                    scripted_endpoint& b)
{
    t.report_silent("i-1", 3);
    REQUIRE(t.await(
        [&]
        {
            return a.has_received("PAUSE 4") && b.has_received("PAUSE 4");
        }));
    a.follow({paused_status});
    b.follow({paused_status});
}

bool is_ordered(const lone_failover_task& t)
{
    return !t.ordered().empty();
}

}

// Guards against LOST: the old primary would go on with an endpoint that joins
// before the order takes effect.
SCENARIO("A primary isn't listed when its group has a failover")
{
    scripted_endpoint primary({primary_status});
    scripted_endpoint first({replica_status});
    scripted_endpoint second({replica_status});
    const group replicas{{"i-2", first.local()}, {"i-3", second.local()}};
    group all = replicas;
    all["i-1"] = primary.local();
    lone_failover_task t(all);

    WHEN("its entry has expired")
    {
        t.list(replicas);
        t.report_missing(3);

        THEN("it is told to step down, though it answers")
        {
            REQUIRE(t.await(
                [&]
                {
                    return primary.has_received("STEPDOWN 4");
                }));
            primary.follow({stepped_down_status});
            first.follow({paused_status});
            second.follow({paused_status});
            REQUIRE(t.await(
                [&]
                {
                    return is_ordered(t);
                }));
            CHECK(replicas.contains(t.ordered().front()));
        }
    }
    WHEN("its entry returns before it has answered")
    {
        primary.follow({.m_status = primary_status, .m_answers = false});
        t.list(replicas);
        t.report_missing(3);
        REQUIRE(t.await(
            [&]
            {
                return first.has_received("PAUSE 4") &&
                       second.has_received("PAUSE 4");
            }));
        first.follow({paused_status});
        second.follow({paused_status});
        t.list(all);
        primary.follow({primary_status});

        THEN("it is told to step down before another one is ordered")
        {
            CHECK(t.await(
                [&]
                {
                    return primary.has_received("STEPDOWN 4");
                }));
        }
    }
}

// Guards against LOST: an endpoint that joins after the fence may acknowledge
// commits with the old primary.
SCENARIO("An endpoint is listed after the others are fenced")
{
    scripted_endpoint first({replica_status});
    scripted_endpoint second({replica_status});
    scripted_endpoint joining({ahead_status});
    const group before{{"i-1", free_address()},
                       {"i-2", first.local()},
                       {"i-3", second.local()}};
    group after = before;
    after["i-4"] = joining.local();
    lone_failover_task t(before);
    fence_replicas(t, first, second);

    WHEN("the process is told of it")
    {
        t.list(after);

        THEN("it is fenced before the order, and succeeds if it is ahead")
        {
            REQUIRE(t.await(
                [&]
                {
                    return joining.has_received("PAUSE 4");
                }));
            CHECK_FALSE(is_ordered(t));
            joining.follow({ahead_paused_status});
            REQUIRE(t.await(
                [&]
                {
                    return is_ordered(t);
                }));
            CHECK(t.ordered().front() == "i-4");
        }
    }
    WHEN("only the store has its entry yet")
    {
        t.list_in_store(after);

        THEN("it is fenced before the order")
        {
            REQUIRE(t.await(
                [&]
                {
                    return joining.has_received("PAUSE 4");
                }));
            CHECK_FALSE(is_ordered(t));
        }
    }
    WHEN("it had nobody to copy from")
    {
        joining.follow({empty_status});
        t.list(after);

        THEN("the order doesn't wait for it")
        {
            REQUIRE(t.await(
                [&]
                {
                    return is_ordered(t);
                }));
            CHECK(t.ordered().front() != "i-4");
        }
    }
}

// Guards against LOST: empty endpoints would stand in for those whose logs had
// the commits.
SCENARIO("Endpoints join while nobody leads")
{
    scripted_endpoint replica({paused_status});
    scripted_endpoint first({empty_status});
    scripted_endpoint second({empty_status});
    const group before{{"i-1", free_address()},
                       {"i-2", free_address()},
                       {"i-3", replica.local()}};
    lone_failover_task t(before);
    t.list(before, {"i-1", "i-2"});
    t.list({{"i-3", replica.local()},
            {"i-4", first.local()},
            {"i-5", second.local()}});
    t.report_missing(3);

    THEN("the one that is left of the group isn't ordered to lead")
    {
        REQUIRE(t.await(
            [&]
            {
                return first.has_received("STATUS") &&
                       second.has_received("STATUS");
            }));
        CHECK_FALSE(t.await(
            [&]
            {
                return is_ordered(t);
            }));
    }
}
