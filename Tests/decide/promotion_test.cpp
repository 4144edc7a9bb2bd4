#include <algorithm>
#include <random>

#include <catch2/catch.hpp>
#include <decide/promotion.hpp>

using namespace bluebellspoke;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr time_point start{std::chrono::hours(1)};

voter make_voter(endpoint_role role, term_number fence, log_position received,
                 time_point heard_at)
{
    voter v;
    v.m_state = endpoint_state{role, fence, received, received, {}, heard_at};
    v.m_heard_at = heard_at;
    v.m_eligible = true;
    return v;
}

std::vector<voter> group_of_three(time_point heard_at)
{
    return {make_voter(endpoint_role::primary, 1, {1, 9}, heard_at),
            make_voter(endpoint_role::replica, 1, {1, 8}, heard_at),
            make_voter(endpoint_role::replica, 1, {1, 7}, heard_at)};
}

void grant(election& e, std::size_t index, log_position received)
{
    e.m_ballots[index] =
        ballot{true, {endpoint_role::replica, e.m_term, received, {}, {}, {}}};
}

}

SCENARIO("A daemon judges whether a group is led")
{
    GIVEN("a group whose primary was heard just now")
    {
        std::vector<voter> group = group_of_three(start);
        REQUIRE(judge_leadership(group, start) == leadership::led);

        WHEN("only the primary falls silent")
        {
            const time_point later = start + suspicion_time + milliseconds(1);
            group[1].m_heard_at = group[2].m_heard_at = later;

            THEN("it is missed")
            {
                REQUIRE(judge_leadership(group, later) == leadership::missed);
            }
            THEN("it has longer while a replica is fed by it")
            {
                group[1].m_fed_at = later;
                REQUIRE(judge_leadership(group, later) == leadership::led);
                const time_point end = start + contested_time + milliseconds(1);
                group[1].m_heard_at = group[2].m_heard_at = end;
                group[1].m_fed_at = end;
                REQUIRE(judge_leadership(group, end) == leadership::missed);
            }
        }
        WHEN("a majority falls silent")
        {
            const time_point later = start + seconds(60);
            group[2].m_heard_at = later;

            THEN("nothing can be said or done")
            {
                REQUIRE(judge_leadership(group, later) == leadership::unknown);
            }
        }
        WHEN("another endpoint is fenced at a later term")
        {
            group[2].m_state->m_fence = 2;

            THEN("nobody leads, whatever the old primary says")
            {
                REQUIRE(judge_leadership(group, start) == leadership::missed);
            }
        }
        WHEN("the primary is to lead no more")
        {
            group[0].m_eligible = false;

            THEN("it is misplaced if the others can elect one of them")
            {
                REQUIRE(judge_leadership(group, start) ==
                        leadership::misplaced);
                group[1].m_eligible = false;
                REQUIRE(judge_leadership(group, start) == leadership::led);
            }
        }
    }
    GIVEN("a group of which one endpoint has yet to be heard")
    {
        std::vector<voter> group = group_of_three(start);
        group[0] = voter();
        group[0].m_known_since = start;

        THEN("it may be the primary for a while")
        {
            REQUIRE(judge_leadership(group, start) == leadership::unknown);
            const time_point later = start + suspicion_time + milliseconds(1);
            group[1].m_heard_at = group[2].m_heard_at = later;
            REQUIRE(judge_leadership(group, later) == leadership::missed);
        }
    }
}

SCENARIO("A daemon asks again before it begins an election")
{
    GIVEN("a daemon that was paused while the primary was lost")
    {
        std::vector<voter> group = group_of_three(start);
        const time_point asked = start + milliseconds(400);

        THEN("what it heard before the pause is not enough")
        {
            REQUIRE_FALSE(is_known_since(group, asked, asked));
        }
        WHEN("a majority answers")
        {
            group[1].m_heard_at = group[2].m_heard_at = asked;

            THEN("the third has a while more, for it may lead by now")
            {
                REQUIRE_FALSE(is_known_since(
                    group, asked, asked + vote_grace - milliseconds(1)));
                REQUIRE(is_known_since(group, asked, asked + vote_grace));
            }
            THEN("one that was silent before is not waited for")
            {
                group[0].m_heard_at = asked - suspicion_time - milliseconds(1);
                REQUIRE(is_known_since(group, asked, asked));
            }
        }
        WHEN("only one answers")
        {
            group[1].m_heard_at = asked;

            THEN("it is never enough")
            {
                REQUIRE_FALSE(is_known_since(group, asked, asked + vote_limit));
            }
        }
    }
}

SCENARIO("An election ends")
{
    std::vector<voter> group = group_of_three(start);
    election e = begin_election(group, 0, "vm-1.7", start);
    REQUIRE(e.m_term == 2);

    WHEN("one endpoint grants its vote")
    {
        grant(e, 1, {1, 8});
        THEN("it stays open until the limit")
        {
            REQUIRE(judge_election(e, group, start).m_outcome ==
                    election_outcome::open);
            REQUIRE(judge_election(e, group, start + vote_limit).m_outcome ==
                    election_outcome::lost);
        }
    }
    WHEN("a majority grants its votes")
    {
        grant(e, 1, {1, 8});
        grant(e, 2, {2, 1});
        THEN("the last term goes before the position")
        {
            const election_result r = judge_election(e, group, start);
            REQUIRE(r.m_outcome == election_outcome::won);
            REQUIRE(r.m_winner == 2);
        }
        THEN("one that may not lead wins only when no other majority comes")
        {
            group[2].m_eligible = false;
            REQUIRE(judge_election(e, group, start).m_outcome ==
                    election_outcome::open);
            const time_point later = start + vote_grace;
            REQUIRE(judge_election(e, group, later).m_winner == 2);
            grant(e, 0, {1, 9});
            REQUIRE(judge_election(e, group, start).m_winner == 0);
        }
    }
    WHEN("a majority refuses")
    {
        e.m_ballots[0] = ballot();
        e.m_ballots[2] = ballot();
        THEN("it is lost at once")
        {
            REQUIRE(judge_election(e, group, start).m_outcome ==
                    election_outcome::lost);
        }
    }
    WHEN("this daemon tried a later term before")
    {
        THEN("it never tries a term again")
        {
            REQUIRE(begin_election(group, 5, "vm-1.7", start).m_term == 6);
        }
    }
}

SCENARIO("Any majority elects an endpoint that holds what a majority held")
{
    const auto seed = GENERATE(range(1U, 40U));
    CAPTURE(seed);
    std::mt19937 random(seed);
    const std::size_t size = 3 + 2 * (random() % 2);
    const log_position acknowledged{2, 5};
    std::vector<voter> group;
    election e;
    e.m_term = 3;
    e.m_ballots.resize(size);
    std::vector<std::size_t> order(size);
    for (std::size_t i = 0; i < size; ++i)
        order[i] = i;
    std::shuffle(order.begin(), order.end(), random);
    std::vector<log_position> logs(size);
    for (std::size_t i = 0; i < size; ++i)
    {
        const bool holds = i <= size / 2;
        // One that lacks it may have the longer log of an earlier term.
        logs[order[i]] = holds ? log_position{2, 5 + random() % 3}
                               : log_position{random() % 3, random() % 5};
        if (!holds && logs[order[i]].m_term == 1)
            logs[order[i]].m_offset += 100;
        group.push_back(make_voter(endpoint_role::replica, 2, {}, start));
        group.back().m_eligible = random() % 4 != 0;
    }
    std::shuffle(order.begin(), order.end(), random);
    for (std::size_t i = 0; i <= size / 2; ++i)
        grant(e, order[i], logs[order[i]]);

    const election_result r = judge_election(e, group, start + vote_grace);
    REQUIRE(r.m_outcome == election_outcome::won);
    REQUIRE(logs[r.m_winner] >= acknowledged);
}

SCENARIO("Daemons take turns and gather strays")
{
    const std::vector<std::string> daemons{"vm-1", "vm-2", "vm-3"};
    SECTION("each group has one order of daemons")
    {
        std::vector<std::size_t> ranks;
        ranks.reserve(daemons.size());
        for (const std::string& d : daemons)
            ranks.push_back(rendezvous_rank("group", d, daemons));
        std::sort(ranks.begin(), ranks.end());
        REQUIRE(ranks == std::vector<std::size_t>{0, 1, 2});
    }
    SECTION("a daemon that is shutting down leaves it to others, if any")
    {
        REQUIRE(may_promote(false, "vm-1", daemons));
        REQUIRE_FALSE(may_promote(true, "vm-1", daemons));
        const std::vector<std::string> itself{"vm-1"};
        REQUIRE(may_promote(true, "vm-1", itself));
        REQUIRE(may_promote(true, "vm-1", {}));
    }
    SECTION("an endpoint fenced below the leader's term has to follow")
    {
        std::vector<voter> group = group_of_three(start);
        group[1].m_state->m_role = endpoint_role::primary;
        group[1].m_state->m_fence = group[2].m_state->m_fence = 2;
        REQUIRE(find_leader(group) == 1U);
        const std::vector<term_number> told{2, 2, 2};
        REQUIRE(find_strays(group, 1, told) == std::vector<std::size_t>{0});
        const std::vector<term_number> untold{2, 2, 1};
        REQUIRE(find_strays(group, 1, untold) ==
                std::vector<std::size_t>{0, 2});
    }
}
