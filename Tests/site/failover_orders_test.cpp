#include <chrono>
#include <map>
#include <string>

#include <catch2/catch.hpp>
#include <support/loopback.hpp>

#include "lone_failover_task.hpp"
#include "scripted_endpoint.hpp"

using namespace bluebellspoke;
using namespace bluebellspoke::support;
using namespace std::chrono_literals;

namespace
{

// Role, term, position, term for which it is paused, lag.
const std::string primary_status = "primary 3 3.10 0 0";
const std::string replica_status = "replica 3 3.10 0 0";
const std::string paused_status = "replica 3 3.10 4 0";
const std::string newer_status = "replica 4 4.11 4 0";

}

// Guards against a position that counts as more recent than it is: a replica
// that lags would serve reads older than their route allows.
SCENARIO("A primary answers the failover task late")
{
    const scripted_endpoint primary({primary_status, 300ms});
    lone_failover_task t({{"i-1", primary.local()},
                          {"i-2", free_address()},
                          {"i-3", free_address()}});
    t.report_silent("i-1", 3);
    REQUIRE(t.await(
        [&]
        {
            return !t.promoted().empty();
        }));

    THEN("its status counts from when it was asked")
    {
        REQUIRE(primary.has_received("STATUS"));
        CHECK(t.promoted().front().m_requested_at <=
              primary.orders().front().m_at);
    }
}

// Guards against a replica that stays paused until the session task finds it,
// up to 3 s later: without another one, no commit is acknowledged meanwhile.
SCENARIO("A failover is given up when a replica has closed the connection")
{
    scripted_endpoint primary({.m_status = primary_status, .m_answers = false});
    scripted_endpoint replica({replica_status});
    lone_failover_task t({{"i-1", primary.local()},
                          {"i-2", replica.local()},
                          {"i-3", free_address()}});
    t.report_silent("i-1", 3);
    REQUIRE(t.await(
        [&]
        {
            return replica.has_received("PAUSE 4");
        }));
    replica.follow({.m_status = paused_status, .m_closes_on_status = true});
    const std::size_t before = replica.orders().size();
    REQUIRE(t.await(
        [&]
        {
            return replica.orders().size() > before + 1;
        }));
    primary.follow({primary_status});

    THEN("it is resumed over another connection")
    {
        REQUIRE(t.await(
            [&]
            {
                return !t.promoted().empty();
            }));
        CHECK(t.await(
            [&]
            {
                return replica.has_received("RESUME");
            }));
    }
}

// Guards against LOST: the primary of a term that only the last status shows
// would be taken for the promoted one, and the members resumed.
SCENARIO("A member answers in a newer term after the others were fenced")
{
    const scripted_endpoint fenced({paused_status});
    // After the last round of orders that comes before the choice.
    scripted_endpoint late({newer_status, 485ms});
    lone_failover_task t({{"i-1", free_address()},
                          {"i-2", fenced.local()},
                          {"i-3", late.local()}});
    t.report_silent("i-1", 3);
    REQUIRE(t.await(
        [&]
        {
            return late.has_received("STATUS");
        }));
    late.follow({newer_status});

    THEN("all are fenced for a term after that one")
    {
        CHECK(t.await(
            [&]
            {
                return late.has_received("PAUSE 5") &&
                       fenced.has_received("PAUSE 5");
            }));
    }
}
