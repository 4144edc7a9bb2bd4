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
                 time_point contact_at)
{
    voter v;
    v.m_state = endpoint_state{role, fence, received, received, {}, contact_at};
    v.m_last_contact_at = contact_at;
    v.m_eligible = true;
    return v;
}

std::vector<voter> group_of_three(time_point contact_at)
{
    return {make_voter(endpoint_role::primary, 1, {1, 9}, contact_at),
            make_voter(endpoint_role::replica, 1, {1, 8}, contact_at),
            make_voter(endpoint_role::replica, 1, {1, 7}, contact_at)};
}

void grant(election& e, std::size_t index, log_position received)
{
    e.m_ballots[index] =
        ballot{true, {endpoint_role::replica, e.m_term, received, {}, {}, {}}};
}

}

SCENARIO("A daemon determines whether a group has a primary")
{
    GIVEN("a group whose primary has just responded")
    {
        std::vector<voter> group = group_of_three(start);
        REQUIRE(evaluate_leadership(group, start) == leadership::led);

        WHEN("only the primary stops responding")
        {
            const time_point later =
                start + suspicion_timeout + milliseconds(1);
            group[1].m_last_contact_at = group[2].m_last_contact_at = later;

            THEN("the primary is missing")
            {
                REQUIRE(evaluate_leadership(group, later) ==
                        leadership::missing);
            }
            THEN("the timeout is longer while a replica receives from it")
            {
                group[1].m_primary_contact_at = later;
                REQUIRE(evaluate_leadership(group, later) == leadership::led);
                const time_point end =
                    start + contested_suspicion_timeout + milliseconds(1);
                group[1].m_last_contact_at = group[2].m_last_contact_at = end;
                group[1].m_primary_contact_at = end;
                REQUIRE(evaluate_leadership(group, end) == leadership::missing);
            }
        }
        WHEN("a majority stops responding")
        {
            const time_point later = start + seconds(60);
            group[2].m_last_contact_at = later;

            THEN("the state is unknown")
            {
                REQUIRE(evaluate_leadership(group, later) ==
                        leadership::unknown);
            }
        }
        WHEN("another endpoint is fenced at a later term")
        {
            group[2].m_state->m_fence = 2;

            THEN("the old primary doesn't count")
            {
                REQUIRE(evaluate_leadership(group, start) ==
                        leadership::missing);
            }
        }
        WHEN("the primary is no longer eligible")
        {
            group[0].m_eligible = false;

            THEN("it is misplaced if enough others are eligible")
            {
                REQUIRE(evaluate_leadership(group, start) ==
                        leadership::misplaced);
                group[1].m_eligible = false;
                REQUIRE(evaluate_leadership(group, start) == leadership::led);
            }
        }
    }
    GIVEN("a group with an endpoint that has not responded yet")
    {
        std::vector<voter> group = group_of_three(start);
        group[0] = voter();
        group[0].m_known_since = start;

        THEN("it may be the primary until the suspicion timeout")
        {
            REQUIRE(evaluate_leadership(group, start) == leadership::unknown);
            const time_point later =
                start + suspicion_timeout + milliseconds(1);
            group[1].m_last_contact_at = group[2].m_last_contact_at = later;
            REQUIRE(evaluate_leadership(group, later) == leadership::missing);
        }
    }
}

SCENARIO("A daemon needs fresh responses before it begins an election")
{
    GIVEN("a daemon that was suspended while the primary was lost")
    {
        std::vector<voter> group = group_of_three(start);
        const time_point asked = start + milliseconds(400);

        THEN("responses from before the suspension don't suffice")
        {
            REQUIRE_FALSE(is_fresh_since(group, asked, asked));
        }
        WHEN("a majority responds")
        {
            group[1].m_last_contact_at = group[2].m_last_contact_at = asked;

            THEN("the third endpoint gets more time, as it may lead by now")
            {
                REQUIRE_FALSE(is_fresh_since(group, asked,
                                             asked + preferred_vote_wait -
                                                 milliseconds(1)));
                REQUIRE(
                    is_fresh_since(group, asked, asked + preferred_vote_wait));
            }
            THEN("an endpoint that was unresponsive before isn't waited for")
            {
                group[0].m_last_contact_at =
                    asked - suspicion_timeout - milliseconds(1);
                REQUIRE(is_fresh_since(group, asked, asked));
            }
        }
        WHEN("only one endpoint responds")
        {
            group[1].m_last_contact_at = asked;

            THEN("it never suffices")
            {
                REQUIRE_FALSE(
                    is_fresh_since(group, asked, asked + election_timeout));
            }
        }
    }
}

SCENARIO("An election is won or lost")
{
    std::vector<voter> group = group_of_three(start);
    election e = begin_election(group, 0, "vm-1.7", start);
    REQUIRE(e.m_term == 2);

    WHEN("one endpoint grants its vote")
    {
        grant(e, 1, {1, 8});
        THEN("the election stays open until its timeout")
        {
            REQUIRE(evaluate_election(e, group, start).m_outcome ==
                    election_outcome::open);
            REQUIRE(evaluate_election(e, group, start + election_timeout)
                        .m_outcome == election_outcome::lost);
        }
    }
    WHEN("a majority grants its votes")
    {
        grant(e, 1, {1, 8});
        grant(e, 2, {2, 1});
        THEN("the log's last term takes precedence over its offset")
        {
            const election_result r = evaluate_election(e, group, start);
            REQUIRE(r.m_outcome == election_outcome::won);
            REQUIRE(r.m_winner == 2);
        }
        THEN("an ineligible endpoint wins only without an eligible majority")
        {
            group[2].m_eligible = false;
            REQUIRE(evaluate_election(e, group, start).m_outcome ==
                    election_outcome::open);
            const time_point later = start + preferred_vote_wait;
            REQUIRE(evaluate_election(e, group, later).m_winner == 2);
            grant(e, 0, {1, 9});
            REQUIRE(evaluate_election(e, group, start).m_winner == 0);
        }
    }
    WHEN("a majority refuses")
    {
        e.m_ballots[0] = ballot();
        e.m_ballots[2] = ballot();
        THEN("the election is lost at once")
        {
            REQUIRE(evaluate_election(e, group, start).m_outcome ==
                    election_outcome::lost);
        }
    }
    WHEN("this daemon has used a later term before")
    {
        THEN("it never uses a term twice")
        {
            REQUIRE(begin_election(group, 5, "vm-1.7", start).m_term == 6);
        }
    }
}

SCENARIO("Every majority elects an endpoint with all acknowledged writes")
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
        // An endpoint without the acknowledged write may have a longer log
        // of an earlier term.
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

    const election_result r =
        evaluate_election(e, group, start + preferred_vote_wait);
    REQUIRE(r.m_outcome == election_outcome::won);
    REQUIRE(logs[r.m_winner] >= acknowledged);
}

SCENARIO("Daemons act in turn and find stale followers")
{
    const std::vector<std::string> daemons{"vm-1", "vm-2", "vm-3"};
    SECTION("all daemons agree on one order for a group")
    {
        std::vector<std::size_t> ranks;
        ranks.reserve(daemons.size());
        for (const std::string& d : daemons)
            ranks.push_back(rendezvous_rank("group", d, daemons));
        std::sort(ranks.begin(), ranks.end());
        REQUIRE(ranks == std::vector<std::size_t>{0, 1, 2});
    }
    SECTION("a daemon that is shutting down promotes only if it is alone")
    {
        REQUIRE(may_promote(false, "vm-1", daemons));
        REQUIRE_FALSE(may_promote(true, "vm-1", daemons));
        const std::vector<std::string> alone{"vm-1"};
        REQUIRE(may_promote(true, "vm-1", alone));
        REQUIRE(may_promote(true, "vm-1", {}));
    }
    SECTION("endpoints that don't follow the leader's term yet are found")
    {
        std::vector<voter> group = group_of_three(start);
        group[1].m_state->m_role = endpoint_role::primary;
        group[1].m_state->m_fence = group[2].m_state->m_fence = 2;
        REQUIRE(find_leader(group) == 1U);
        const std::vector<term_number> ordered{2, 2, 2};
        REQUIRE(find_stale_followers(group, 1, ordered) ==
                std::vector<std::size_t>{0});
        const std::vector<term_number> one_missing{2, 2, 1};
        REQUIRE(find_stale_followers(group, 1, one_missing) ==
                std::vector<std::size_t>{0, 2});
    }
}
