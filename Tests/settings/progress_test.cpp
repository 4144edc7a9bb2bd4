#include <array>

#include <catch2/catch.hpp>
#include <decide/admission.hpp>
#include <decide/settings_progress.hpp>
#include <decide/standing.hpp>

using namespace bluebellspoke;
using namespace std::chrono_literals;

TEST_CASE("An answer of the platform is held against what is known")
{
    const version_map known{{"settings/@", 4}, {"settings/ward", 9}};

    SECTION("a newer change of a node is taken")
    {
        const std::array changes{object_version{"settings/ward", 12}};
        REQUIRE_FALSE(is_reverted(known, 9, {12, false, changes}));
    }
    SECTION("nothing new is no going back")
    {
        REQUIRE_FALSE(is_reverted(known, 9, {9, false, {}}));
    }
    SECTION("a lower revision is an older copy")
    {
        REQUIRE(is_reverted(known, 9, {8, false, {}}));
    }
    SECTION("a peer knows newer settings than the platform")
    {
        REQUIRE(is_reverted(known, 10, {9, false, {}}));
    }
    SECTION("an older copy that has grown past the revision is found out")
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
    SECTION("what was learnt after the question says nothing of its answer")
    {
        const std::array changes{object_version{"settings/ward", 8}};
        REQUIRE_FALSE(is_reverted(known, 8, {8, false, changes}));
    }
}

TEST_CASE("A daemon without settings waits for its peers before the platform")
{
    REQUIRE_FALSE(may_take_first({100ms, false, 0, 0}));
    REQUIRE_FALSE(may_take_first({100ms, true, 2, 1}));
    REQUIRE(may_take_first({100ms, true, 2, 2}));
    REQUIRE(may_take_first({100ms, true, 0, 0}));
    SECTION("but not for ever")
    {
        REQUIRE(may_take_first({standing_bound, false, 2, 0}));
    }
}

TEST_CASE("One fit daemon of a zone keeps its watch")
{
    const std::array zone{watch_candidate{"vm-1", false},
                          watch_candidate{"vm-3", true}};
    REQUIRE(keeps_watch("vm-2", zone));
    REQUIRE_FALSE(keeps_watch("vm-4", zone));
}

TEST_CASE("Standing lasts as long as what it rests on")
{
    const time_point start{1000s};
    std::array peers{peer_witness{start + 1s, 7, 10s, false},
                     peer_witness{start + 2s, 7, 10s, false}};
    standing_view view{7, start - 10s, false, 3, peers};

    SECTION("one witness of two is needed, and the newest lasts longest")
    {
        REQUIRE(standing_until(view) == start + 2s + standing_bound);
        REQUIRE(judge_standing(view, start + 2s + standing_bound) ==
                standing::witnessed);
        REQUIRE(judge_standing(view, start + 2s + standing_bound + 1ms) ==
                standing::lapsed);
    }
    SECTION("of five daemons both are needed, so the older one counts")
    {
        view.m_members = 5;
        REQUIRE(standing_until(view) == start + 1s + standing_bound);
    }
    SECTION("a peer that knows something newer is no witness")
    {
        peers[1].m_version = 8;
        REQUIRE(standing_until(view) == start + 1s + standing_bound);
    }
}

TEST_CASE("A list of members that is too short gives no standing")
{
    const time_point start{1000s};
    const std::array fellow{peer_witness{start, 7, 10s, false}};
    // The list names two, the fleet's epoch five.
    const standing_view listed{7, start - 10s, false, 2, fellow};
    standing_view members{7, start - 10s, false, 5, fellow};

    SECTION("two of five are no majority")
    {
        const std::array views{listed, members};
        REQUIRE(judge_standing(listed, start) == standing::witnessed);
        REQUIRE(judge_standing(views, start) == standing::lapsed);
        REQUIRE(standing_until(views) < start);
    }
    SECTION("three are, while all three have been asked in time")
    {
        const std::array fellows{peer_witness{start, 7, 10s, false},
                                 peer_witness{start + 1s, 7, 10s, false}};
        members.m_peers = fellows;
        const std::array views{listed, members};
        REQUIRE(judge_standing(views, start) == standing::witnessed);
        REQUIRE(standing_until(views) == start + standing_bound);
    }
    SECTION("one that isn't a member doesn't count itself")
    {
        members.m_members = 3;
        members.m_is_member = false;
        const std::array views{listed, members};
        REQUIRE(judge_standing(views, start) == standing::lapsed);
    }
    SECTION("a peer that was confirmed in time is enough")
    {
        const std::array confirmed{peer_witness{start, 7, 1s, true}};
        members.m_peers = confirmed;
        const std::array views{listed, members};
        REQUIRE(judge_standing(views, start) == standing::confirmed);
        REQUIRE(standing_until(views) == start - 1s + standing_bound);
    }
}

TEST_CASE("What returns gets its work little by little")
{
    REQUIRE(returning_slots(10, 0s) == 1);
    REQUIRE(returning_slots(10, return_time / 2) == 5);
    REQUIRE(returning_slots(10, return_time) == 10);
    REQUIRE(returning_slots(10, return_time * 3) == 10);

    REQUIRE(admits_work({true, false, false}));
    REQUIRE_FALSE(admits_work({false, false, false}));
    REQUIRE_FALSE(admits_work({true, true, false}));
    REQUIRE_FALSE(admits_work({true, false, true}));
}
