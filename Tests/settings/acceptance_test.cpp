#include <array>

#include <catch2/catch.hpp>
#include <decide/acceptance.hpp>
#include <decide/standing.hpp>

using namespace bluebellspoke;
using namespace std::chrono_literals;

TEST_CASE("An edit is accepted when no daemon can serve with older settings")
{
    constexpr std::uint64_t version = 8;
    std::array reports{member_report{"vm-1", true, 8, 8, false},
                       member_report{"vm-2", true, 8, 8, false},
                       member_report{"vm-3", true, 8, 8, false}};
    acceptance_view view{version, reports, 0s};

    SECTION("all daemons apply it")
    {
        REQUIRE(evaluate_acceptance(view) == acceptance::accepted);
    }
    SECTION("one daemon doesn't answer")
    {
        reports[2] = {"vm-3", false, 0, 0, false};
        SECTION("it may still have standing from before the edit")
        {
            view.m_majority_age = standing_bound;
            REQUIRE(evaluate_acceptance(view) == acceptance::propagating);
        }
        SECTION("its standing has lapsed")
        {
            view.m_majority_age = standing_bound + 1ms;
            REQUIRE(evaluate_acceptance(view) == acceptance::accepted);
        }
    }
    SECTION("one daemon knows it and hasn't applied it yet")
    {
        reports[2] = {"vm-3", true, 8, 7, false};
        view.m_majority_age = 10s;
        REQUIRE(evaluate_acceptance(view) == acceptance::propagating);
    }
    SECTION("a minority applies it")
    {
        reports[1] = {"vm-2", false, 0, 0, false};
        reports[2] = {"vm-3", true, 7, 7, false};
        view.m_majority_age.reset();
        REQUIRE(evaluate_acceptance(view) == acceptance::propagating);
        SECTION("even if a majority applied it before")
        {
            view.m_majority_age = 10s;
            REQUIRE(evaluate_acceptance(view) == acceptance::propagating);
        }
    }
    SECTION("the list of VMs omits most of the fleet's epoch")
    {
        std::array fleet_reports{
            member_report{"vm-1", true, 8, 8, false, true},
            member_report{"vm-2", false, 0, 0, false, true},
            member_report{"vm-3", false, 0, 0, false, true},
            member_report{"vm-4", true, 8, 8, false, false},
            member_report{"vm-5", true, 8, 8, false, false}};
        const acceptance_view fleet_view{version, fleet_reports, 1h};
        REQUIRE(evaluate_acceptance(fleet_view) == acceptance::propagating);

        SECTION("until a majority of the epoch's members applies it")
        {
            fleet_reports[1] = {"vm-2", true, 8, 8, false, true};
            REQUIRE(evaluate_acceptance(fleet_view) == acceptance::accepted);
        }
    }
    SECTION("a daemon rejects it")
    {
        reports[0] = {"vm-1", true, 8, 7, true};
        REQUIRE(evaluate_acceptance(view) == acceptance::refused);
    }
    SECTION("a newer edit includes this one")
    {
        reports[0] = {"vm-1", true, 9, 9, false};
        REQUIRE(evaluate_acceptance(view) == acceptance::accepted);
    }
    SECTION("there are no daemons yet")
    {
        REQUIRE(evaluate_acceptance({version, {}, std::nullopt}) ==
                acceptance::accepted);
    }
}
