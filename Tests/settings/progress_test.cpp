#include <array>

#include <catch2/catch.hpp>
#include <decide/endpoint_admission.hpp>
#include <decide/settings_progress.hpp>
#include <decide/standing.hpp>

using namespace bluebellspoke;
using namespace std::chrono_literals;

TEST_CASE("An answer of the platform is compared with the known versions")
{
    const version_map known{{"settings/@", 4}, {"settings/ward", 9}};

    SECTION("a newer version of a node is accepted")
    {
        const std::array changes{object_version{"settings/ward", 12}};
        REQUIRE_FALSE(is_reverted(known, 9, {12, false, changes}));
    }
    SECTION("an unchanged revision is not a reversion")
    {
        REQUIRE_FALSE(is_reverted(known, 9, {9, false, {}}));
    }
    SECTION("a lower revision shows an older copy")
    {
        REQUIRE(is_reverted(known, 9, {8, false, {}}));
    }
    SECTION("a peer knows newer settings than the platform")
    {
        REQUIRE(is_reverted(known, 10, {9, false, {}}));
    }
    SECTION("an older copy whose revision has passed the known one is detected")
    {
        SECTION("by a node's lower version")
        {
            const std::array all{object_version{"settings/@", 4},
                                 object_version{"settings/ward", 6}};
            REQUIRE(is_reverted(known, 9, {20, true, all}));
        }
        SECTION("by a node that is missing")
        {
            const std::array all{object_version{"settings/@", 4}};
            REQUIRE(is_reverted(known, 9, {20, true, all}));
        }
    }
    SECTION("versions learnt after the query aren't compared with its answer")
    {
        const std::array changes{object_version{"settings/ward", 8}};
        REQUIRE_FALSE(is_reverted(known, 8, {8, false, changes}));
    }
}

TEST_CASE("A daemon without settings waits for its peers' reports")
{
    REQUIRE_FALSE(may_adopt_first_settings({100ms, false, 0, 0}));
    REQUIRE_FALSE(may_adopt_first_settings({100ms, true, 2, 1}));
    REQUIRE(may_adopt_first_settings({100ms, true, 2, 2}));
    REQUIRE(may_adopt_first_settings({100ms, true, 0, 0}));
    SECTION("but only for standing_bound")
    {
        REQUIRE(may_adopt_first_settings({standing_bound, false, 2, 0}));
    }
}

TEST_CASE("One eligible daemon of a zone holds its watch")
{
    const std::array zone{watch_candidate{"vm-1", false},
                          watch_candidate{"vm-3", true}};
    REQUIRE(is_zone_watcher("vm-2", zone));
    REQUIRE_FALSE(is_zone_watcher("vm-4", zone));
}

TEST_CASE("Standing lasts as long as the reports that it is based on")
{
    const time_point start{1000s};
    std::array peers{peer_report{start + 1s, 7, 10s, false},
                     peer_report{start + 2s, 7, 10s, false}};
    standing_view view{7, start - 10s, false, 3, peers};

    SECTION(
        "of three daemons one witness is needed, so the newest report counts")
    {
        REQUIRE(standing_until(view) == start + 2s + standing_bound);
        REQUIRE(evaluate_standing(view, start + 2s + standing_bound) ==
                standing::witnessed);
        REQUIRE(evaluate_standing(view, start + 2s + standing_bound + 1ms) ==
                standing::lapsed);
    }
    SECTION(
        "of five daemons both witnesses are needed, so the older report counts")
    {
        view.m_member_count = 5;
        REQUIRE(standing_until(view) == start + 1s + standing_bound);
    }
    SECTION("a peer with newer settings is no witness")
    {
        peers[1].m_version = 8;
        REQUIRE(standing_until(view) == start + 1s + standing_bound);
    }
}

TEST_CASE("An incomplete list of members gives no standing")
{
    const time_point start{1000s};
    const std::array peer{peer_report{start, 7, 10s, false}};
    // The platform lists two VMs; the fleet's epoch has five members.
    const standing_view listed{7, start - 10s, false, 2, peer};
    standing_view members{7, start - 10s, false, 5, peer};

    SECTION("two of five are no majority")
    {
        const std::array views{listed, members};
        REQUIRE(evaluate_standing(listed, start) == standing::witnessed);
        REQUIRE(evaluate_standing(views, start) == standing::lapsed);
        REQUIRE(standing_until(views) < start);
    }
    SECTION("three are, as long as none of their reports has expired")
    {
        const std::array two_peers{peer_report{start, 7, 10s, false},
                                   peer_report{start + 1s, 7, 10s, false}};
        members.m_peers = two_peers;
        const std::array views{listed, members};
        REQUIRE(evaluate_standing(views, start) == standing::witnessed);
        REQUIRE(standing_until(views) == start + standing_bound);
    }
    SECTION("a daemon that isn't a member doesn't count itself")
    {
        members.m_member_count = 3;
        members.m_is_member = false;
        const std::array views{listed, members};
        REQUIRE(evaluate_standing(views, start) == standing::lapsed);
    }
    SECTION("one recently confirmed peer is enough")
    {
        const std::array confirmed{peer_report{start, 7, 1s, true}};
        members.m_peers = confirmed;
        const std::array views{listed, members};
        REQUIRE(evaluate_standing(views, start) == standing::confirmed);
        REQUIRE(standing_until(views) == start - 1s + standing_bound);
    }
}

TEST_CASE(
    "A returning endpoint is loaded gradually, an unusable one not at all")
{
    REQUIRE(ramp_up_slots(10, 0s) == 1);
    REQUIRE(ramp_up_slots(10, ramp_up_time / 2) == 5);
    REQUIRE(ramp_up_slots(10, ramp_up_time) == 10);
    REQUIRE(ramp_up_slots(10, ramp_up_time * 3) == 10);

    REQUIRE(admits_work({true, false, false}));
    REQUIRE_FALSE(admits_work({false, false, false}));
    REQUIRE_FALSE(admits_work({true, true, false}));
    REQUIRE_FALSE(admits_work({true, false, true}));
}
