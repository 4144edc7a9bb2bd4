#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <decide/group_view.hpp>
#include <decide/takeover.hpp>

using namespace bluebellspoke;
using std::chrono::milliseconds;

namespace
{

constexpr term_number old_term = 3;
constexpr term_number next = 4;
constexpr time_point start{std::chrono::hours(1)};

takeover_member fenced_replica(const std::string& id, std::uint64_t offset)
{
    takeover_member m;
    m.m_id = id;
    m.m_reachable = true;
    m.m_asked_at = start;
    m.m_status = {
        endpoint_role::replica, old_term, {old_term, offset}, next, 0, 0, 0};
    return m;
}

takeover_member stepped_down_primary(const std::string& id,
                                     std::uint64_t offset)
{
    takeover_member m = fenced_replica(id, offset);
    m.m_status.m_paused_term = 0;
    m.m_stepped_down = true;
    return m;
}

takeover_member empty_replica(const std::string& id)
{
    takeover_member m = fenced_replica(id, 0);
    m.m_status.m_term = 0;
    m.m_status.m_position = {};
    return m;
}

}

// Guards against LOST: endpoints that joined while nobody led, and had nothing
// to copy, would fill the quorum of the logs that may hold a commit.
SCENARIO("An empty log can't hold a commit")
{
    GIVEN("an endpoint that has followed no primary")
    {
        const takeover_member empty = empty_replica("a");

        THEN("it counts only in a group that has had no primary")
        {
            CHECK_FALSE(may_hold_commits(empty, old_term));
            CHECK(may_hold_commits(empty, 0));
        }
    }
    GIVEN("an endpoint that doesn't answer")
    {
        CHECK(may_hold_commits(takeover_member{}, old_term));
    }
    GIVEN("an endpoint that has followed a primary without a commit")
    {
        takeover_member follower = empty_replica("a");
        follower.m_status.m_term = old_term;
        CHECK(may_hold_commits(follower, old_term));
    }
}

// Guards against a group that stays without a primary, as logs that are gone
// count: no quorum of the others is left.
SCENARIO("The primary of the newest term is fenced, and few others are")
{
    std::vector<takeover_member> members{stepped_down_primary("a", 12),
                                         fenced_replica("b", 11)};
    members.resize(7);
    const auto end = find_end_of_term(members, old_term, next);
    REQUIRE(end == log_position{old_term, 12});

    THEN("it succeeds itself if the other one is behind")
    {
        CHECK_FALSE(choose_successor(members, next, 1));
        CHECK(choose_successor(members, next, 1, {}, end) == "a");
    }
    THEN("a member that stays and isn't behind goes before it")
    {
        members[0].m_leaving = true;
        members[1].m_status.m_position.m_offset = 12;
        CHECK(choose_successor(members, next, 1, {}, end) == "b");
    }
    THEN("nobody is chosen if all that are left are behind")
    {
        members[0].m_reachable = false;
        CHECK_FALSE(choose_successor(members, next, 1, {}, end));
    }
    THEN("the end isn't known if a newer term may have begun")
    {
        CHECK_FALSE(find_end_of_term(members, next, next));
    }
    THEN("the end isn't known if the primary isn't fenced")
    {
        members[0].m_reachable = false;
        CHECK_FALSE(find_end_of_term(members, old_term, next));
    }
    THEN("a pending order for a member that is behind isn't repeated")
    {
        CHECK_FALSE(choose_successor(members, next, 1, "b", end));
        CHECK(choose_successor(members, next, 1, "a", end) == "a");
    }
}

// Guards against a group that waits for a quorum after each order that was
// lost, though the ordered endpoint shows that it doesn't lead.
SCENARIO("An order has expired")
{
    const ordered_promotion order{"b", start, next};
    takeover_member ordered = fenced_replica("b", 11);

    THEN("its endpoint shows that it had no effect")
    {
        CHECK(had_no_effect(order, ordered));
    }
    THEN("an answer from before it expired shows nothing")
    {
        ordered.m_asked_at = start - milliseconds(1);
        CHECK_FALSE(had_no_effect(order, ordered));
    }
    THEN("nothing is shown by silence, another endpoint or a newer term")
    {
        CHECK_FALSE(had_no_effect(order, fenced_replica("c", 11)));
        ordered.m_status.m_term = next;
        CHECK_FALSE(had_no_effect(order, ordered));
        ordered.m_status.m_term = old_term;
        ordered.m_reachable = false;
        CHECK_FALSE(had_no_effect(order, ordered));
    }
}

// Guards against LOST: an endpoint that joins after the fence acknowledges
// commits with the old primary, which no fenced log has.
SCENARIO("A member is listed after the others were fenced")
{
    std::vector<takeover_member> members{
        {}, fenced_replica("b", 12), fenced_replica("c", 11)};
    const auto evaluate = [&]
    {
        return evaluate_fence(members, next, 1, "b", start);
    };
    REQUIRE(evaluate() == fence_state::confirmed);
    members.emplace_back();
    members.back().m_joined_late = true;

    WHEN("it hasn't answered")
    {
        CHECK(evaluate() == fence_state::unconfirmed);
    }
    WHEN("it follows the old primary")
    {
        members.back() = fenced_replica("d", 13);
        members.back().m_joined_late = true;
        members.back().m_status.m_paused_term = 0;
        CHECK(evaluate() == fence_state::lost);

        AND_WHEN("it is fenced, too, and ahead")
        {
            members.back().m_status.m_paused_term = next;
            CHECK(evaluate() == fence_state::lost);
            CHECK(choose_successor(members, next, 1) == "d");
        }
    }
    WHEN("it is the old primary, which wasn't listed before")
    {
        members.back() = fenced_replica("a", 13);
        members.back().m_joined_late = true;
        members.back().m_status.m_role = endpoint_role::primary;
        members.back().m_status.m_paused_term = 0;
        CHECK(evaluate() == fence_state::lost);
    }
    WHEN("it follows the promoted endpoint already")
    {
        members.back() = fenced_replica("d", 13);
        members.back().m_joined_late = true;
        members.back().m_status.m_term = next;
        members.back().m_status.m_paused_term = 0;
        CHECK(evaluate() != fence_state::lost);
    }
}

// Guards against LOST: the log of an endpoint that is gone would be forgotten
// although no other endpoint but the primary has what it held.
SCENARIO("Replicas catch up with the primary")
{
    constexpr time_point later = start + milliseconds(100);
    group_view g;
    g.m_sync_replicas = 1;
    g.m_member_count = 3;
    const auto answer = [&](const std::string& id, endpoint_role role,
                            std::uint64_t offset, time_point at)
    {
        record_status(g, id, {role, old_term, {old_term, offset}, 0, 0, 0, 0},
                      at, at);
    };
    answer("a", endpoint_role::primary, 10, start);
    answer("a", endpoint_role::primary, 12, later);

    THEN("without a replica nothing is known")
    {
        CHECK(replicated_until(g) == time_point{});
    }
    THEN("a replica shows until when it has everything")
    {
        answer("b", endpoint_role::replica, 9, later);
        CHECK(replicated_until(g) == time_point{});
        answer("b", endpoint_role::replica, 11, later + milliseconds(1));
        CHECK(replicated_until(g) == start);
        answer("c", endpoint_role::replica, 12, later);
        CHECK(replicated_until(g) == later);
    }
    THEN("nothing is known without a primary")
    {
        answer("b", endpoint_role::replica, 12, later);
        invalidate_primary(g, "a", later);
        CHECK(replicated_until(g) == time_point{});
    }
}
