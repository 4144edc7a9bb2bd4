#include <catch2/catch.hpp>
#include <decide/service_rate.hpp>
#include <decide/service_time.hpp>

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
        record_dequeue(r, now);
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
            REQUIRE_FALSE(current_rate(r, start + 100s));
        }
    }
    GIVEN("a backlog with 100 dequeues per second")
    {
        begin_backlogged_period(r, start);
        const time_point now = record_dequeues(r, start, 10ms, 300);
        THEN("that is its rate")
        {
            REQUIRE(current_rate(r, now).value() == Approx(100));
        }
        THEN("a failover during which nothing is served doesn't lower it")
        {
            const time_point later = record_dequeues(r, now + 2s, 10ms, 200);
            REQUIRE(current_rate(r, later).value() == Approx(100));
        }
        THEN("a slower second doesn't lower it at once")
        {
            const time_point later = record_dequeues(r, now, 20ms, 100);
            REQUIRE(current_rate(r, later).value() == Approx(100));
        }
        THEN("it expires some time after the queue has become empty")
        {
            end_backlogged_period(r);
            REQUIRE(current_rate(r, now + 4s));
            REQUIRE_FALSE(current_rate(r, now + 6s));
        }
    }
    GIVEN("a backlog that ends after 19 dequeues")
    {
        begin_backlogged_period(r, start);
        record_dequeues(r, start, 10ms, 19);
        end_backlogged_period(r);
        THEN("it is too short to measure a rate")
        {
            REQUIRE_FALSE(current_rate(r, start + 1s));
        }
    }
}

TEST_CASE("A request can't finish in less than the recent minimum")
{
    service_time times;
    SECTION("without measurements, no request is refused")
    {
        REQUIRE_FALSE(cannot_finish_within(times, 0ms));
    }
    SECTION("with measurements, the minimum service time decides")
    {
        record_service_time(times, 40ms);
        record_service_time(times, 20ms);
        record_service_time(times, 60ms);
        REQUIRE(cannot_finish_within(times, 19ms));
        REQUIRE_FALSE(cannot_finish_within(times, 25ms));
        AND_WHEN("all requests have been slower for a long time")
        {
            for (int i = 0; i < 1000; ++i)
                record_service_time(times, 100ms);
            REQUIRE(cannot_finish_within(times, 90ms));
        }
    }
}
