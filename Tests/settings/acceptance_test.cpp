#include <array>

#include <catch2/catch.hpp>
#include <decide/acceptance.hpp>
#include <decide/standing.hpp>

using namespace bluebellspoke;
using namespace std::chrono_literals;

TEST_CASE("An edit is accepted when nobody can serve by older settings")
{
    constexpr std::uint64_t version = 8;
    std::array reports{member_report{"vm-1", true, 8, 8, false},
                       member_report{"vm-2", true, 8, 8, false},
                       member_report{"vm-3", true, 8, 8, false}};
    acceptance_view view{version, reports, 0s};

    SECTION("all daemons go by it")
    {
        REQUIRE(judge_acceptance(view) == acceptance::accepted);
    }
    SECTION("one daemon doesn't answer")
    {
        reports[2] = {"vm-3", false, 0, 0, false};
        SECTION("it may have standing from before the edit")
        {
            view.m_since_majority = standing_bound;
            REQUIRE(judge_acceptance(view) == acceptance::spreading);
        }
        SECTION("its standing has lapsed by now")
        {
            view.m_since_majority = standing_bound + 1ms;
            REQUIRE(judge_acceptance(view) == acceptance::accepted);
        }
    }
    SECTION("one daemon knows it and is about to go by it")
    {
        reports[2] = {"vm-3", true, 8, 7, false};
        view.m_since_majority = 10s;
        REQUIRE(judge_acceptance(view) == acceptance::spreading);
    }
    SECTION("a minority goes by it")
    {
        reports[1] = {"vm-2", false, 0, 0, false};
        reports[2] = {"vm-3", true, 7, 7, false};
        view.m_since_majority.reset();
        REQUIRE(judge_acceptance(view) == acceptance::spreading);
        SECTION("also if there was a majority once")
        {
            view.m_since_majority = 10s;
            REQUIRE(judge_acceptance(view) == acceptance::spreading);
        }
    }
    SECTION("the list of VMs omits most of the fleet's epoch")
    {
        std::array named{member_report{"vm-1", true, 8, 8, false, true},
                         member_report{"vm-2", false, 0, 0, false, true},
                         member_report{"vm-3", false, 0, 0, false, true},
                         member_report{"vm-4", true, 8, 8, false, false},
                         member_report{"vm-5", true, 8, 8, false, false}};
        const acceptance_view omitted{version, named, 1h};
        REQUIRE(judge_acceptance(omitted) == acceptance::spreading);

        SECTION("until a majority of the epoch goes by it")
        {
            named[1] = {"vm-2", true, 8, 8, false, true};
            REQUIRE(judge_acceptance(omitted) == acceptance::accepted);
        }
    }
    SECTION("a daemon can't take it")
    {
        reports[0] = {"vm-1", true, 8, 7, true};
        REQUIRE(judge_acceptance(view) == acceptance::refused);
    }
    SECTION("a newer edit holds this one too")
    {
        reports[0] = {"vm-1", true, 9, 9, false};
        REQUIRE(judge_acceptance(view) == acceptance::accepted);
    }
    SECTION("there are no daemons yet")
    {
        REQUIRE(judge_acceptance({version, {}, std::nullopt}) ==
                acceptance::accepted);
    }
}
