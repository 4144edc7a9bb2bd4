#include <algorithm>
#include <random>
#include <vector>

#include <catch2/catch.hpp>
#include <decide/group_view.hpp>
#include <decide/takeover.hpp>

using namespace bluebellspoke;
using std::chrono::milliseconds;

namespace
{

takeover_member replica(const std::string& id, std::uint64_t offset,
                        term_number held)
{
    takeover_member m;
    m.m_id = id;
    m.m_reachable = true;
    m.m_status = {endpoint_role::replica, 3, {3, offset}, held, 0, 0, 0};
    return m;
}

takeover_member stepped_down(const std::string& id, std::uint64_t offset)
{
    takeover_member m = replica(id, offset, 0);
    m.m_stepped_down = true;
    return m;
}

}

SCENARIO("A primary is evaluated")
{
    constexpr time_point now{std::chrono::hours(1)};
    primary_evidence e;
    e.m_known = true;
    e.m_last_contact_at = now;

    GIVEN("a primary that responds and commits")
    {
        REQUIRE(evaluate_primary(e, now) == takeover_reason::none);
    }
    GIVEN("a primary that has not responded for too long")
    {
        e.m_last_contact_at = now - primary_timeout;
        REQUIRE(evaluate_primary(e, now) == takeover_reason::silent);
    }
    GIVEN("a primary that responds but finishes no commit")
    {
        e.m_commits_stalled_since = now - commit_stall_timeout;
        REQUIRE(evaluate_primary(e, now) == takeover_reason::starved);
    }
    GIVEN("a primary that drains")
    {
        e.m_leaving = true;
        REQUIRE(evaluate_primary(e, now) == takeover_reason::leaving);
    }
    GIVEN("no primary for too long")
    {
        e.m_known = false;
        REQUIRE(evaluate_primary(e, now) == takeover_reason::none);
        e.m_last_contact_at = now - primary_timeout;
        REQUIRE(evaluate_primary(e, now) == takeover_reason::missing);
    }
    GIVEN("no primary, and members that an earlier takeover has paused")
    {
        e.m_known = false;
        e.m_takeover_interrupted = true;
        REQUIRE(evaluate_primary(e, now) == takeover_reason::missing);
        e.m_known = true;
        REQUIRE(evaluate_primary(e, now) == takeover_reason::none);
    }
}

SCENARIO("A successor is chosen")
{
    constexpr term_number next = 4;

    GIVEN("three members with an unreachable primary")
    {
        std::vector<takeover_member> members{
            {}, replica("b", 10, next), replica("c", 12, next)};

        THEN("the replica with the most advanced log succeeds")
        {
            REQUIRE(choose_successor(members, next, 1) == "c");
        }
        WHEN("one replica isn't paused")
        {
            members[2] = replica("c", 12, 0);

            THEN("a commit may be only on it and the primary: no successor")
            {
                REQUIRE_FALSE(choose_successor(members, next, 1));
            }
        }
        WHEN("its pause was for an older term")
        {
            members[2] = replica("c", 12, next - 1);
            REQUIRE_FALSE(choose_successor(members, next, 1));
        }
    }
    GIVEN("a primary that stepped down and one replica")
    {
        std::vector<takeover_member> members{
            stepped_down("a", 12), replica("b", 11, next), {}};

        THEN("the replica may lack commits that the third member has, so the "
             "primary leads again")
        {
            REQUIRE(choose_successor(members, next, 1) == "a");
        }
        WHEN("the replica has the whole log")
        {
            members[1] = replica("b", 12, next);
            members[0].m_leaving = true;

            THEN("the member that stays is preferred")
            {
                REQUIRE(choose_successor(members, next, 1) == "b");
            }
        }
    }
    GIVEN("a planned handover with all three members fenced")
    {
        std::vector<takeover_member> members{stepped_down("a", 12),
                                             replica("b", 10, next),
                                             replica("c", 11, next)};
        members[0].m_leaving = true;

        THEN("the two that stay hold every acknowledged commit together")
        {
            REQUIRE(choose_successor(members, next, 1) == "c");
        }
    }
    GIVEN("members that are already fenced for the wanted term")
    {
        const std::vector<takeover_member> members{replica("b", 10, next),
                                                   replica("c", 12, next)};

        THEN("the next term is the wanted term again")
        {
            REQUIRE(next_term(members, next) == next);
        }
    }
    GIVEN("members with different terms")
    {
        std::vector<takeover_member> members{replica("a", 1, 7),
                                             replica("b", 1, 0)};
        members[1].m_status.m_term = 5;

        THEN("the next term is high enough for all of them")
        {
            REQUIRE(next_term(members, 4) == 7);
            REQUIRE(next_term(members, 9) == 9);
        }
    }
}

// Guards against the promotion of a successor that was chosen long ago: its
// order may only be repeated while an earlier one may still take effect.
SCENARIO("A promotion is under way when the successor is chosen")
{
    constexpr term_number next = 4;
    constexpr time_point now{std::chrono::hours(1)};

    GIVEN("members of which one was ordered to lead")
    {
        std::vector<takeover_member> members{
            {}, replica("b", 10, next), replica("c", 10, next)};

        THEN("it is chosen before one with the same log")
        {
            REQUIRE(choose_successor(members, next, 1, "b") == "b");
            REQUIRE(choose_successor(members, next, 1, "c") == "c");
        }
        WHEN("another member's log is more advanced")
        {
            members[2].m_status.m_position.m_offset = 11;

            THEN("no order is sent until the earlier one has expired")
            {
                REQUIRE_FALSE(choose_successor(members, next, 1, "b"));
                REQUIRE(choose_successor(members, next, 1) == "c");
            }
        }
        WHEN("it isn't fenced")
        {
            members[1].m_status.m_paused_term = 0;
            members[0] = stepped_down("a", 10);
            REQUIRE_FALSE(choose_successor(members, next, 1, "b"));
        }
        WHEN("the more advanced log is that of a member that leaves")
        {
            members[0] = stepped_down("a", 12);
            members[0].m_leaving = true;

            THEN("the two that stay hold every acknowledged commit")
            {
                REQUIRE(choose_successor(members, next, 1, "b") == "b");
            }
        }
    }
    GIVEN("an order that was sent a while ago")
    {
        const ordered_promotion o{"b", now};

        THEN("it counts until it has expired")
        {
            REQUIRE(pending_endpoint(o, now - milliseconds(1)) == "b");
            REQUIRE(pending_endpoint(o, now).empty());
            REQUIRE(pending_endpoint({}, now).empty());
        }
        THEN("its lifetime covers its time in transit and its effect")
        {
            REQUIRE(promotion_order_lifetime >=
                    max_order_delay + promotion_timeout);
        }
    }
}

// Guards against a promotion on a quorum that was fenced when the successor was
// chosen and isn't any more: a replica's restart ends its pause.
SCENARIO("The fence is checked before the promotion is ordered")
{
    constexpr term_number next = 4;
    constexpr time_point start{std::chrono::hours(1)};
    constexpr time_point later = start + milliseconds(100);
    std::vector<takeover_member> members(3);
    const auto respond = [&](std::size_t which, std::uint64_t offset,
                             term_number paused, time_point asked_at)
    {
        const endpoint_status status{
            endpoint_role::replica, 3, {3, offset}, paused, 0, 0, 0};
        record_response(members[which], status, next, asked_at, asked_at);
    };
    members[1].m_id = "b";
    members[2].m_id = "c";
    respond(1, 10, next, start);
    respond(2, 12, next, start);
    REQUIRE(choose_successor(members, next, 1) == "c");

    GIVEN("members that respond as before")
    {
        respond(1, 10, next, later);
        respond(2, 12, next, later);

        THEN("the fence is confirmed, and as old as the first responses")
        {
            REQUIRE(evaluate_fence(members, next, 1, "c", later) ==
                    fence_state::confirmed);
            REQUIRE(members[1].m_fenced_at == start);
        }
    }
    GIVEN("a member that hasn't responded lately")
    {
        respond(2, 12, next, later);

        THEN("the fence is neither confirmed nor lost")
        {
            REQUIRE(evaluate_fence(members, next, 1, "c", later) ==
                    fence_state::unconfirmed);
        }
    }
    GIVEN("the successor itself, which hasn't responded lately")
    {
        respond(1, 10, next, later);
        members[0] = stepped_down("a", 12);
        members[0].m_asked_at = later;
        REQUIRE(evaluate_fence(members, next, 1, "c", later) ==
                fence_state::unconfirmed);
    }
    GIVEN("a member that has restarted and isn't paused any more")
    {
        respond(1, 10, 0, later);
        respond(2, 12, next, later);

        THEN("the fence is lost")
        {
            REQUIRE(evaluate_fence(members, next, 1, "c", later) ==
                    fence_state::lost);
            REQUIRE(members[1].m_fenced_at == time_point{});
        }
        WHEN("it is paused again")
        {
            const time_point again = later + milliseconds(100);
            members[1].m_fence_lost = false;
            respond(1, 13, next, again);

            THEN("its leases count from then, and its newer log is chosen")
            {
                REQUIRE(members[1].m_fenced_at == again);
                REQUIRE(choose_successor(members, next, 1) == "b");
                REQUIRE(evaluate_fence(members, next, 1, "c", later) ==
                        fence_state::lost);
            }
        }
    }
    GIVEN("a member that has learned of the promotion")
    {
        const endpoint_status follows{
            endpoint_role::replica, next, {next, 12}, 0, 0, 0, 0};
        record_response(members[1], follows, next, later, later);
        record_response(members[1], follows, next, later, later);

        THEN("the fence isn't lost: the promotion has ended the pauses")
        {
            REQUIRE_FALSE(members[1].m_fence_lost);
            REQUIRE(evaluate_fence(members, next, 1, "c", later) ==
                    fence_state::unconfirmed);
        }
    }
}

// Guards against the loss of a commit that an endpoint has acknowledged after
// it stepped down: it follows the promoted endpoint, and isn't paused.
SCENARIO("An endpoint that stepped down follows a newer primary")
{
    constexpr term_number old = 3;
    constexpr term_number next = 4;
    constexpr term_number last = 5;
    constexpr time_point start{std::chrono::hours(1)};
    constexpr time_point later = start + std::chrono::seconds(10);
    constexpr time_point again = later + milliseconds(200);
    std::vector<takeover_member> members(3);
    const auto respond = [&](std::size_t which, endpoint_role role,
                             log_position position, term_number paused,
                             term_number wanted, time_point at)
    {
        const endpoint_status status{
            role, position.m_term, position, paused, 0, 0, 0};
        record_response(members[which], status, wanted, at, at);
    };
    const auto follow = [&](std::size_t which, log_position position,
                            term_number paused, term_number wanted,
                            time_point at)
    {
        respond(which, endpoint_role::replica, position, paused, wanted, at);
    };
    const auto refresh_step_downs = [&](time_point now)
    {
        const term_number newest = newest_term(members);
        for (takeover_member& m : members)
            end_old_step_down(m, newest, last, now);
    };
    members[0].m_id = "a";
    members[1].m_id = "b";
    members[2].m_id = "c";
    respond(0, endpoint_role::primary, {old, 10}, 0, next, start);
    members[0].m_stepped_down = true;
    follow(0, {old, 10}, 0, next, start);
    follow(1, {old, 10}, next, next, start);
    follow(2, {old, 10}, next, next, start);

    GIVEN("no promotion since then")
    {
        follow(0, {old, 10}, 0, next, later);
        refresh_step_downs(later);

        THEN("it is fenced since it stepped down")
        {
            REQUIRE(is_fenced(members[0], next));
            REQUIRE(members[0].m_fenced_at == start);
        }
    }
    GIVEN("an endpoint that leads again without an order")
    {
        respond(0, endpoint_role::primary, {old, 11}, 0, next, later);

        THEN("the fence is lost, and stays so when it follows again")
        {
            REQUIRE(members[0].m_fence_lost);
            follow(0, {old, 11}, 0, next, again);
            REQUIRE_FALSE(is_fenced(members[0], next));
        }
    }
    GIVEN("a promoted endpoint that has gone out of reach, and one that is "
          "paused for the term after it")
    {
        members[1].m_reachable = false;
        follow(2, {next, 10}, 0, next, later);
        follow(2, {next, 10}, last, last, again);

        WHEN("the one that stepped down follows the promoted one")
        {
            follow(0, {next, 10}, 0, last, again);

            THEN("it may hold commits with it: no successor")
            {
                REQUIRE_FALSE(is_fenced(members[0], last));
                REQUIRE(members[0].m_fenced_at == time_point{});
                REQUIRE_FALSE(choose_successor(members, last, 1));
            }
            AND_WHEN("it is paused after such a commit")
            {
                const time_point paused_at = again + milliseconds(100);
                follow(0, {next, 11}, last, last, paused_at);

                THEN("its log is chosen, and its leases count from the pause")
                {
                    REQUIRE(choose_successor(members, last, 1) == "a");
                    REQUIRE(members[0].m_fenced_at == paused_at);
                }
            }
        }
        WHEN("the one that stepped down was paused before it responds")
        {
            follow(0, {next, 11}, last, last, again);

            THEN("its leases count from that response")
            {
                REQUIRE(choose_successor(members, last, 1) == "a");
                REQUIRE(members[0].m_fenced_at == again);
            }
        }
        WHEN("the one that stepped down hasn't responded in the newer term")
        {
            refresh_step_downs(again);

            THEN("it may follow the promoted one at any time: no successor")
            {
                REQUIRE(newest_term(members) == next);
                REQUIRE_FALSE(is_fenced(members[0], last));
                REQUIRE(members[0].m_fenced_at == time_point{});
                REQUIRE_FALSE(choose_successor(members, last, 1));
            }
        }
        WHEN("it is paused for the term, too, when the newer one is seen")
        {
            members[0].m_status.m_paused_term = last;
            refresh_step_downs(again);

            THEN("it is fenced by the pause, and its leases count from then")
            {
                REQUIRE(is_fenced(members[0], last));
                REQUIRE(members[0].m_fenced_at == again);
            }
        }
    }
}

SCENARIO("No takeover loses an acknowledged commit")
{
    // Guards against a successor that lacks an acknowledged commit. In random
    // histories the commits reach the primary and some replicas, and one
    // replica suffices to acknowledge them. Then a random set of members is
    // reachable and fenced.
    constexpr int histories = 20000;
    constexpr term_number next = 2;
    std::mt19937 random(4711);
    const auto random_below = [&](int bound)
    {
        return static_cast<int>(random() % static_cast<unsigned>(bound));
    };
    int successors = 0;
    for (int h = 0; h < histories; ++h)
    {
        const std::uint64_t primary =
            1 + static_cast<std::uint64_t>(random_below(8));
        const std::uint64_t b = static_cast<std::uint64_t>(
            random_below(static_cast<int>(primary) + 1));
        const std::uint64_t c = static_cast<std::uint64_t>(
            random_below(static_cast<int>(primary) + 1));
        const std::uint64_t acknowledged = std::max(b, c);
        std::vector<takeover_member> members{stepped_down("a", primary),
                                             replica("b", b, next),
                                             replica("c", c, next)};
        for (takeover_member& m : members)
        {
            m.m_status.m_term = 1;
            m.m_status.m_position.m_term = 1;
            m.m_leaving = random_below(3) == 0;
            m.m_reachable = random_below(3) != 0;
        }
        const auto successor = choose_successor(members, next, 1);
        if (!successor)
            continue;
        ++successors;
        const auto successor_state =
            std::ranges::find_if(members,
                                 [&](const takeover_member& m)
                                 {
                                     return m.m_id == *successor;
                                 });
        REQUIRE(successor_state->m_status.m_position.m_offset >= acknowledged);
    }
    REQUIRE(successors > histories / 4);
}

// Guards against a stall that goes unseen on a route with a short time limit,
// and against a failover for one slow commit.
SCENARIO("A commit is overdue for its caller")
{
    const time_point sent_at = time_point{} + std::chrono::seconds(10);
    const time_point never{};

    THEN("it may show a stall until it counts as one")
    {
        CHECK(may_show_stall(sent_at, never, sent_at + milliseconds(800)));
        CHECK(may_show_stall(sent_at, sent_at - milliseconds(1),
                             sent_at + milliseconds(800)));
        CHECK_FALSE(
            may_show_stall(sent_at, never, sent_at + commit_stall_timeout));
    }
    THEN("it shows none once a later commit is acknowledged")
    {
        CHECK_FALSE(may_show_stall(sent_at, sent_at + milliseconds(1),
                                   sent_at + milliseconds(800)));
    }
}

// Guards against LOST: an endpoint that leads a term which the holder learns of
// only from the last status would be taken for the new primary.
SCENARIO("A member answers in a newer term just before the choice")
{
    constexpr term_number known = 1;
    constexpr term_number newer = 2;
    takeover_member old_member;
    old_member.m_id = "a";
    old_member.m_reachable = true;
    old_member.m_status.m_role = endpoint_role::replica;
    old_member.m_status.m_term = known;
    old_member.m_status.m_paused_term = newer;
    takeover_member late = old_member;
    late.m_id = "b";
    late.m_status.m_term = newer;
    const std::vector members{old_member, late};

    GIVEN("members that are fenced for the term after the known one")
    {
        REQUIRE(choose_successor(members, known + 1, 1));
        term_number old_term = known;

        THEN("they are to be fenced again, and only a later term is new")
        {
            CHECK_FALSE(update_old_term(members, old_term, known + 1));
            CHECK(old_term == newer);
        }
    }
    GIVEN("members that are fenced for a later term")
    {
        term_number old_term = known;

        THEN("one of them may be chosen")
        {
            CHECK(update_old_term(members, old_term, newer + 1));
            CHECK(old_term == newer);
        }
    }
}

// Guards against LOST: a report on an earlier time as primary would make a
// holder forget an order that takes effect later.
SCENARIO("An endpoint that led an earlier term is ordered again")
{
    const ordered_promotion o{"a", time_point{std::chrono::hours(1)}, 3};

    THEN("only a term that the order may have begun shows its effect")
    {
        CHECK_FALSE(has_taken_effect(o, "a", 1));
        CHECK_FALSE(has_taken_effect(o, "a", 2));
        CHECK(has_taken_effect(o, "a", 3));
        CHECK(has_taken_effect(o, "a", 5));
        CHECK_FALSE(has_taken_effect(o, "b", 3));
    }
}
