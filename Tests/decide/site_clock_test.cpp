#include <catch2/catch.hpp>
#include <decide/site_clock.hpp>

using namespace bluebellspoke;
using namespace std::chrono_literals;

// Guards against reports whose windows are shifted because one VM's clock is
// wrong or jumps.
SCENARIO("Processes agree on the time although their clocks differ")
{
    constexpr time_point start{1h};
    constexpr unix_time truth{1'767'225'600'000};
    site_clock clock{offset_of(truth + 40ms, start), {}};

    GIVEN("a leader that hears three members of its cell of five")
    {
        record_wall_time(clock, "a", truth + 40ms, start);
        record_wall_time(clock, "b", truth - 30ms, start);
        record_wall_time(clock, "c", truth, start);
        follow_median(clock, 3, start);
        REQUIRE(time_at(clock.m_offset, start) == truth);

        WHEN("the clock of one jumps by the largest skew")
        {
            const time_point later = start + 1s;
            record_wall_time(clock, "a", truth + 1s + 20s, later);
            record_wall_time(clock, "b", truth + 1s - 30ms, later);
            record_wall_time(clock, "c", truth + 1s, later);
            follow_median(clock, 3, later);

            THEN("true time doesn't")
            {
                CHECK(time_at(clock.m_offset, later) == truth + 1s);
            }
        }
        WHEN("it hears only one member any more, whose clock jumped")
        {
            const time_point later = start + 10s;
            record_wall_time(clock, "a", truth + 30s, later);
            follow_median(clock, 3, later);

            THEN("it keeps the offset that it had")
            {
                CHECK(time_at(clock.m_offset, later) == truth + 10s);
            }
        }
    }
    GIVEN("two processes without a cell, the other with a jumped clock")
    {
        record_wall_time(clock, "a", truth + 40ms, start);
        record_wall_time(clock, "b", truth - 20s, start);
        follow_median(clock, 2, start);

        THEN("the nearer to what was known is taken")
        {
            CHECK(time_at(clock.m_offset, start) == truth + 40ms);
        }
    }
    GIVEN("a member that hears its leader")
    {
        follow_leader(clock, truth, start);

        THEN("it keeps the leader's time while it hears nobody")
        {
            CHECK(time_at(clock.m_offset, start + 1min) == truth + 1min);
        }
    }
}
