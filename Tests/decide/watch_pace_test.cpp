#include <catch2/catch.hpp>
#include <decide/promotion.hpp>
#include <decide/watch_pace.hpp>

using namespace bluebellspoke;
using std::chrono::milliseconds;

SCENARIO("A group that nobody uses is watched less closely")
{
    GIVEN("a group that is led")
    {
        const watch_pace busy = pace_of_watch(duration::zero(), true);

        WHEN("no request has come for a while")
        {
            const watch_pace idle = pace_of_watch(idle_time, true);

            THEN("its endpoints are asked at most a tenth as often")
            {
                REQUIRE(idle.m_ask >= 10 * busy.m_ask);
                REQUIRE(idle.m_judge > busy.m_judge);
            }
            THEN("a primary still has several questions to answer before it "
                 "is suspected")
            {
                REQUIRE(4 * idle.m_ask <= suspicion_time);
            }
        }
        WHEN("its primary is suspected")
        {
            const watch_pace alarmed = pace_of_watch(idle_time, false);

            THEN("it is watched closely, used or not")
            {
                REQUIRE(alarmed.m_ask == busy.m_ask);
                REQUIRE(alarmed.m_judge == busy.m_judge);
            }
        }
    }
}
