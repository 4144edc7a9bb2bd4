#include <catch2/catch.hpp>
#include <decide/group_lease.hpp>

using namespace bluebellspoke;

SCENARIO("A daemon requests the lease of a group")
{
    constexpr time_point start{std::chrono::hours(1)};
    const group_lease_record mine{"vm-1.7", 3, 2000};
    const group_lease_record theirs{"vm-2.8", 1, 2000};

    GIVEN("no object, or a released one")
    {
        REQUIRE(evaluate_group_lease({}, mine, start) ==
                group_lease_status::available);
        REQUIRE(evaluate_group_lease({4, {}, start}, mine, start) ==
                group_lease_status::available);
    }
    GIVEN("another daemon's lease, first observed now")
    {
        const group_lease_observation seen =
            observe_group_lease({}, 4, theirs, start);
        REQUIRE(evaluate_group_lease(seen, mine, start) ==
                group_lease_status::held_by_other);

        THEN("its duration counts from the first observation of that version")
        {
            const time_point end = start + group_lease_duration;
            const group_lease_observation again =
                observe_group_lease(seen, 4, theirs, end);
            REQUIRE(evaluate_group_lease(again, mine, end) ==
                    group_lease_status::available);
            const group_lease_observation renewed =
                observe_group_lease(seen, 5, theirs, end);
            REQUIRE(evaluate_group_lease(renewed, mine, end) ==
                    group_lease_status::held_by_other);
        }
    }
    GIVEN("a claim whose response was lost")
    {
        THEN("reading it back shows that it took effect")
        {
            REQUIRE(evaluate_group_lease({5, mine, start}, mine, start) ==
                    group_lease_status::held_by_claim);
        }
        THEN("an older claim of the same daemon doesn't count as this one")
        {
            const group_lease_record older{"vm-1.7", 2, 2000};
            REQUIRE(evaluate_group_lease({5, older, start}, mine, start) ==
                    group_lease_status::available);
        }
    }
}
