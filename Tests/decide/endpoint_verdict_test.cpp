#include <chrono>

#include <catch2/catch.hpp>
#include <decide/endpoint_verdict.hpp>

using namespace bluebellspoke;
using std::chrono::milliseconds;

// Guards against a reason that names another check than the one that excludes
// the endpoint: statements and their explanation go by the same verdicts.
SCENARIO("An endpoint gets new work or a reason why it doesn't")
{
    const time_point now{std::chrono::hours(1)};
    endpoint_availability e;
    REQUIRE(judge_availability(e, false, now) == endpoint_verdict::usable);

    GIVEN("an endpoint that refused a statement")
    {
        e.m_busy_until = now + milliseconds(1);
        REQUIRE(judge_availability(e, true, now) == endpoint_verdict::busy);
        REQUIRE(judge_availability(e, true, e.m_busy_until) ==
                endpoint_verdict::usable);
    }
    GIVEN("an endpoint that leaves")
    {
        e.m_draining_since = now;
        REQUIRE(judge_availability(e, false, now) ==
                endpoint_verdict::draining);
        e.m_is_evacuated = true;
        REQUIRE(judge_availability(e, false, now) ==
                endpoint_verdict::evacuated);

        WHEN("it is the only one that can run the work")
        {
            const time_point end = now + leaving_primary_grace;
            REQUIRE(judge_availability(e, true, end - milliseconds(1)) ==
                    endpoint_verdict::usable);
            REQUIRE(judge_availability(e, true, end) ==
                    endpoint_verdict::evacuated);
        }
        WHEN("it failed, and is gone from the store")
        {
            e.m_is_avoided = true;
            REQUIRE(judge_availability(e, true, now) ==
                    endpoint_verdict::avoided);
            e.m_is_listed = false;
            REQUIRE(judge_availability(e, true, now) ==
                    endpoint_verdict::not_listed);
        }
    }
}

SCENARIO("An endpoint gives a statement's consistency or a reason why it can't")
{
    const time_point now{std::chrono::hours(1)};
    group_view g;
    start_term(g, 1, "i-1");
    const consistency_need write{true, true, now, {}};
    const consistency_need primary_read{false, true, now, {}};
    const consistency_need read{false, false, now, milliseconds(500)};
    REQUIRE(judge_consistency(g, "i-1", write) == endpoint_verdict::usable);
    REQUIRE(judge_consistency(g, "i-2", write) ==
            endpoint_verdict::not_primary);
    REQUIRE(judge_consistency(g, "i-2", primary_read) ==
            endpoint_verdict::not_primary);

    GIVEN("no lease and no position of the primary")
    {
        REQUIRE(judge_consistency(g, "i-1", primary_read) ==
                endpoint_verdict::no_lease);
        REQUIRE(judge_consistency(g, "i-2", read) ==
                endpoint_verdict::no_position);
    }
    GIVEN("a lease, and a position that is recent enough for some reads")
    {
        g.m_lease_until = now + milliseconds(1);
        record_sample(g, {}, now - milliseconds(400));
        REQUIRE(judge_consistency(g, "i-1", primary_read) ==
                endpoint_verdict::usable);
        REQUIRE(judge_consistency(g, "i-2", read) == endpoint_verdict::usable);
        REQUIRE(judge_consistency(g, "i-2",
                                  {false, false, now, milliseconds(300)}) ==
                endpoint_verdict::no_position);
    }
}
