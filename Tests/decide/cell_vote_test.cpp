#include <algorithm>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <decide/cell_vote.hpp>

using namespace bluebellspoke;
using std::chrono::milliseconds;

namespace
{

constexpr time_point start{std::chrono::hours(1)};
// The processes run since long before.
constexpr time_point long_before = start - vote_promise;

using member_names = std::set<std::string, std::less<>>;

// One process of a cell on a logical clock.
struct voter
{
    std::string m_name;
    std::uint64_t m_incarnation = 1;
    time_point m_started_at = long_before;
    cell_vote m_vote;
    cell_poll m_poll;
};

struct question
{
    std::size_t m_from = 0;
    std::size_t m_to = 0;
    std::uint64_t m_incarnation = 0;
    time_point m_asked_at{};
    time_point m_due{}; ///< At the voter, then at the one who asked.
    bool m_answered = false;
};

}

SCENARIO("A process gives its vote to one other")
{
    cell_vote vote;

    GIVEN("one that has just started")
    {
        THEN("it may have promised its vote before")
        {
            REQUIRE_FALSE(grant_vote(vote, "a", 1, start, start));
            REQUIRE(grant_vote(vote, "a", 1, start, start + vote_promise));
        }
    }
    GIVEN("one that has promised it")
    {
        REQUIRE(grant_vote(vote, "a", 1, long_before, start));

        THEN("it keeps to it, and may renew it")
        {
            REQUIRE_FALSE(grant_vote(vote, "b", 1, long_before,
                                     start + vote_promise - milliseconds(1)));
            REQUIRE(grant_vote(vote, "a", 1, long_before,
                               start + vote_promise - milliseconds(1)));
            REQUIRE_FALSE(
                grant_vote(vote, "b", 1, long_before, start + vote_promise));
        }
        THEN("a new process under the name is another one")
        {
            REQUIRE_FALSE(grant_vote(vote, "a", 2, long_before, start));
        }
        THEN("it is free when that one ends")
        {
            release_vote(vote, "a");
            REQUIRE(grant_vote(vote, "b", 1, long_before, start));
        }
    }
}

SCENARIO("A majority of a cell's votes counts as long as its oldest")
{
    const member_names members{"a", "b", "c", "d"};

    REQUIRE(majority_until({{"a", start}, {"b", start}}, members) ==
            time_point());
    REQUIRE(majority_until({{"a", start}, {"b", start}, {"z", start}},
                           members) == time_point());
    REQUIRE(majority_until({{"a", start + milliseconds(5)},
                            {"b", start},
                            {"c", start + milliseconds(9)},
                            {"d", start + milliseconds(2)}},
                           members) == start + milliseconds(2) + vote_time);
}

SCENARIO("Processes with more processor time go first")
{
    REQUIRE(outranks({0.5, "b"}, {0.12, "a"}));
    REQUIRE(outranks({0.5, "a"}, {0.5, "b"}));
    REQUIRE_FALSE(outranks({0.5, "a"}, {0.5, "a"}));
}

SCENARIO("A cell never has two keepers")
{
    // All stand all the time; questions and answers are late or lost, and
    // processes start anew with nothing known.
    constexpr std::size_t count = 5;
    constexpr int steps = 20000;
    const unsigned seed = GENERATE(1U, 2U, 3U, 4U, 5U, 6U);
    std::mt19937 dice(seed);
    std::vector<voter> cell(count);
    member_names members;
    for (std::size_t i = 0; i < count; ++i)
    {
        cell[i].m_name = std::string(1, static_cast<char>('a' + i));
        members.insert(cell[i].m_name);
    }
    std::vector<question> under_way;
    time_point now = start;
    int kept = 0;
    std::set<std::string> keepers_seen;
    for (int step = 0; step < steps; ++step)
    {
        now += milliseconds(dice() % 10);
        const std::size_t i = dice() % count;
        if (dice() % 400 == 0)
            cell[i] = {cell[i].m_name, cell[i].m_incarnation + 1, now, {}, {}};
        else if (dice() % 3 == 0)
        {
            // One stands for a while, then another.
            const std::size_t who =
                static_cast<std::size_t>(step / 700 + (dice() % 8 == 0)) %
                count;
            voter& v = cell[who];
            if (grant_vote(v.m_vote, v.m_name, v.m_incarnation, v.m_started_at,
                           now))
                v.m_poll[v.m_name] = now;
            for (std::size_t to = 0; to < count; ++to)
                if (to != who && dice() % 4 != 0)
                    under_way.push_back({who, to, v.m_incarnation, now,
                                         now + milliseconds(dice() % 300),
                                         false});
        }
        for (question& q : under_way)
        {
            if (now < q.m_due)
                continue;
            voter& asker = cell[q.m_from];
            if (q.m_answered)
            {
                if (asker.m_incarnation == q.m_incarnation)
                    asker.m_poll[cell[q.m_to].m_name] = std::max(
                        asker.m_poll[cell[q.m_to].m_name], q.m_asked_at);
                q.m_due = time_point::max();
                continue;
            }
            voter& v = cell[q.m_to];
            q.m_answered = grant_vote(v.m_vote, asker.m_name, q.m_incarnation,
                                      v.m_started_at, now);
            q.m_due = q.m_answered ? now + milliseconds(dice() % 300)
                                   : time_point::max();
        }
        std::erase_if(under_way,
                      [](const question& q)
                      {
                          return q.m_due == time_point::max();
                      });
        int keepers = 0;
        for (const voter& v : cell)
            if (now < majority_until(v.m_poll, members))
            {
                ++keepers;
                keepers_seen.insert(v.m_name);
            }
        kept += keepers;
        REQUIRE(keepers <= 1);
    }
    REQUIRE(kept > steps / 10);
    REQUIRE(keepers_seen.size() > 1);
}
