#include <catch2/catch.hpp>
#include <decide/service_rate.hpp>
#include <decide/time_needed.hpp>

using namespace bluebellspoke;
using namespace std::chrono_literals;

namespace
{

time_point take_turns(service_rate& r, time_point from, duration gap,
                      unsigned count)
{
    time_point now = from;
    for (unsigned i = 0; i < count; ++i)
    {
        now += gap;
        note_turn(r, now);
    }
    return now;
}

}

TEST_CASE("A queue's rate is that of the time in which something waited")
{
    const time_point start{1000s};
    service_rate r;

    GIVEN("a queue that never held anything up")
    {
        take_turns(r, start, 1s, 100);
        THEN("its rate is unknown, however slowly requests came")
        {
            REQUIRE_FALSE(rate_now(r, start + 100s));
        }
    }
    GIVEN("a backlog that gets 100 turns a second")
    {
        begin_waiting(r, start);
        const time_point now = take_turns(r, start, 10ms, 300);
        THEN("that is its rate")
        {
            REQUIRE(rate_now(r, now).value() == Approx(100));
        }
        THEN("a failover in which nothing is served doesn't lower it")
        {
            const time_point later = take_turns(r, now + 2s, 10ms, 200);
            REQUIRE(rate_now(r, later).value() == Approx(100));
        }
        THEN("a slower second doesn't lower it at once")
        {
            const time_point later = take_turns(r, now, 20ms, 100);
            REQUIRE(rate_now(r, later).value() == Approx(100));
        }
        THEN("it is forgotten once nothing waits")
        {
            end_waiting(r);
            REQUIRE(rate_now(r, now + 4s));
            REQUIRE_FALSE(rate_now(r, now + 6s));
        }
    }
    GIVEN("a backlog that is gone after a moment")
    {
        begin_waiting(r, start);
        take_turns(r, start, 10ms, 19);
        end_waiting(r);
        THEN("the moment says nothing")
        {
            REQUIRE_FALSE(rate_now(r, start + 1s));
        }
    }
}

TEST_CASE("A request is hopeless when even the quickest would end too late")
{
    time_needed n;
    SECTION("nothing is known at first")
    {
        REQUIRE_FALSE(is_hopeless(n, 0ms));
    }
    SECTION("the quickest of late is the measure")
    {
        note_served(n, 40ms);
        note_served(n, 20ms);
        note_served(n, 60ms);
        REQUIRE(is_hopeless(n, 19ms));
        REQUIRE_FALSE(is_hopeless(n, 25ms));
        AND_WHEN("all have been slower for long")
        {
            for (int i = 0; i < 1000; ++i)
                note_served(n, 100ms);
            REQUIRE(is_hopeless(n, 90ms));
        }
    }
}
