#include <catch2/catch.hpp>
#include <decide/promotion.hpp>
#include <decide/watch_pace.hpp>

using namespace bluebellspoke;
using std::chrono::milliseconds;

SCENARIO("An idle group is polled less often")
{
    GIVEN("a group with a primary")
    {
        const watch_pace busy = pace_of_watch(duration::zero(), true);

        WHEN("there was no request for a while")
        {
            const watch_pace idle = pace_of_watch(idle_time, true);

            THEN("its endpoints are queried at most a tenth as often")
            {
                REQUIRE(idle.m_ask >= 10 * busy.m_ask);
                REQUIRE(idle.m_judge > busy.m_judge);
            }
            THEN("the primary still gets several queries before it is "
                 "suspected")
            {
                REQUIRE(4 * idle.m_ask <= suspicion_time);
            }
        }
        WHEN("its primary is suspected")
        {
            const watch_pace suspected = pace_of_watch(idle_time, false);

            THEN("it is polled as often as a busy group")
            {
                REQUIRE(suspected.m_ask == busy.m_ask);
                REQUIRE(suspected.m_judge == busy.m_judge);
            }
        }
    }
}
