#include <catch2/catch.hpp>
#include <decide/service_rate.hpp>
#include <decide/time_needed.hpp>

using namespace bluebellspoke;
using namespace std::chrono_literals;

namespace
{

// Records `count` dequeues at intervals of `gap` and returns the last one's
// time.
time_point record_dequeues(service_rate& r, time_point from, duration gap,
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

TEST_CASE("A queue's service rate is measured only while it has a backlog")
{
    const time_point start{1000s};
    service_rate r;

    GIVEN("a queue that never had a backlog")
    {
        record_dequeues(r, start, 1s, 100);
        THEN("its rate is unknown, however slowly requests arrive")
        {
            REQUIRE_FALSE(rate_now(r, start + 100s));
        }
    }
    GIVEN("a backlog with 100 dequeues per second")
    {
        begin_waiting(r, start);
        const time_point now = record_dequeues(r, start, 10ms, 300);
        THEN("that is its rate")
        {
            REQUIRE(rate_now(r, now).value() == Approx(100));
        }
        THEN("a failover during which nothing is served doesn't lower it")
        {
            const time_point later = record_dequeues(r, now + 2s, 10ms, 200);
            REQUIRE(rate_now(r, later).value() == Approx(100));
        }
        THEN("a slower second doesn't lower it at once")
        {
            const time_point later = record_dequeues(r, now, 20ms, 100);
            REQUIRE(rate_now(r, later).value() == Approx(100));
        }
        THEN("it expires some time after the queue has become empty")
        {
            end_waiting(r);
            REQUIRE(rate_now(r, now + 4s));
            REQUIRE_FALSE(rate_now(r, now + 6s));
        }
    }
    GIVEN("a backlog that ends after 19 dequeues")
    {
        begin_waiting(r, start);
        record_dequeues(r, start, 10ms, 19);
        end_waiting(r);
        THEN("it is too short to measure a rate")
        {
            REQUIRE_FALSE(rate_now(r, start + 1s));
        }
    }
}

TEST_CASE("A request can't finish in less than the recent minimum")
{
    time_needed times;
    SECTION("without measurements, no request is refused")
    {
        REQUIRE_FALSE(is_hopeless(times, 0ms));
    }
    SECTION("with measurements, the minimum service time decides")
    {
        note_served(times, 40ms);
        note_served(times, 20ms);
        note_served(times, 60ms);
        REQUIRE(is_hopeless(times, 19ms));
        REQUIRE_FALSE(is_hopeless(times, 25ms));
        AND_WHEN("all requests have been slower for a long time")
        {
            for (int i = 0; i < 1000; ++i)
                note_served(times, 100ms);
            REQUIRE(is_hopeless(times, 90ms));
        }
    }
}
