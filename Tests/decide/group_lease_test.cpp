#include <catch2/catch.hpp>
#include <decide/group_lease.hpp>

using namespace bluebellspoke;

SCENARIO("A daemon requests the lease of a group")
{
    constexpr time_point start{std::chrono::hours(1)};
    const lease_record mine{"vm-1.7", 3, 2000};
    const lease_record theirs{"vm-2.8", 1, 2000};

    GIVEN("no object, or a released one")
    {
        REQUIRE(judge_lease({}, mine, start) == lease_step::take);
        REQUIRE(judge_lease({4, {}, start}, mine, start) == lease_step::take);
    }
    GIVEN("another daemon's lease, first observed now")
    {
        const lease_sighting seen = note_lease({}, 4, theirs, start);
        REQUIRE(judge_lease(seen, mine, start) == lease_step::wait);

        THEN("its duration counts from the first observation of that version")
        {
            const time_point end = start + lease_length;
            const lease_sighting again = note_lease(seen, 4, theirs, end);
            REQUIRE(judge_lease(again, mine, end) == lease_step::take);
            const lease_sighting renewed = note_lease(seen, 5, theirs, end);
            REQUIRE(judge_lease(renewed, mine, end) == lease_step::wait);
        }
    }
    GIVEN("a claim whose response was lost")
    {
        THEN("reading it back shows that it took effect")
        {
            REQUIRE(judge_lease({5, mine, start}, mine, start) ==
                    lease_step::held);
        }
        THEN("an older claim of the same daemon doesn't count as this one")
        {
            const lease_record older{"vm-1.7", 2, 2000};
            REQUIRE(judge_lease({5, older, start}, mine, start) ==
                    lease_step::take);
        }
    }
}
