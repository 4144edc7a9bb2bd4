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
// Start time of processes that may vote at `start`.
constexpr time_point settled = start - vote_hold_time;

using member_names = std::set<std::string, std::less<>>;

// A simulated process of a cell.
struct cell_process
{
    std::string m_name;
    std::uint64_t m_incarnation = 1;
    time_point m_started_at = settled;
    cell_vote m_vote;
    vote_request_times m_votes;
};

struct vote_request
{
    std::size_t m_from = 0;
    std::size_t m_to = 0;
    std::uint64_t m_incarnation = 0;
    time_point m_asked_at{};
    time_point m_due{}; ///< Arrival at the voter, then at the candidate.
    bool m_answered = false;
};

}

SCENARIO("A process votes for one candidate at a time")
{
    cell_vote vote;

    GIVEN("a voter that has just started")
    {
        THEN("it waits, because it may have voted before it restarted")
        {
            REQUIRE_FALSE(grant_vote(vote, "a", 1, start, start));
            REQUIRE(grant_vote(vote, "a", 1, start, start + vote_hold_time));
        }
    }
    GIVEN("a voter that has granted its vote")
    {
        REQUIRE(grant_vote(vote, "a", 1, settled, start));

        THEN("it refuses other candidates and may renew the vote")
        {
            REQUIRE_FALSE(grant_vote(vote, "b", 1, settled,
                                     start + vote_hold_time - milliseconds(1)));
            REQUIRE(grant_vote(vote, "a", 1, settled,
                               start + vote_hold_time - milliseconds(1)));
            REQUIRE_FALSE(
                grant_vote(vote, "b", 1, settled, start + vote_hold_time));
        }
        THEN("a restarted process of the same name is another candidate")
        {
            REQUIRE_FALSE(grant_vote(vote, "a", 2, settled, start));
        }
        THEN("a released vote can be granted again")
        {
            release_vote(vote, "a");
            REQUIRE(grant_vote(vote, "b", 1, settled, start));
        }
    }
}

SCENARIO("A majority is valid as long as the oldest vote that it needs")
{
    const member_names members{"a", "b", "c", "d"};

    REQUIRE(majority_expiry({{"a", start}, {"b", start}}, members) ==
            time_point());
    REQUIRE(majority_expiry({{"a", start}, {"b", start}, {"z", start}},
                            members) == time_point());
    REQUIRE(majority_expiry({{"a", start + milliseconds(5)},
                             {"b", start},
                             {"c", start + milliseconds(9)},
                             {"d", start + milliseconds(2)}},
                            members) ==
            start + milliseconds(2) + vote_validity);
}

SCENARIO("Processes with more cores rank higher")
{
    REQUIRE(outranks({0.5, "b"}, {0.12, "a"}));
    REQUIRE(outranks({0.5, "a"}, {0.5, "b"}));
    REQUIRE_FALSE(outranks({0.5, "a"}, {0.5, "a"}));
}

SCENARIO("A cell never has two leaders")
{
    // Guards against two processes that hold valid majorities at the same time.
    // Candidates request votes while requests and responses are delayed or lost
    // and processes restart without their state.
    constexpr std::size_t count = 5;
    constexpr int steps = 20000;
    const unsigned seed = GENERATE(1U, 2U, 3U, 4U, 5U, 6U);
    std::mt19937 random(seed);
    std::vector<cell_process> cell(count);
    member_names members;
    for (std::size_t i = 0; i < count; ++i)
    {
        cell[i].m_name = std::string(1, static_cast<char>('a' + i));
        members.insert(cell[i].m_name);
    }
    std::vector<vote_request> in_transit;
    time_point now = start;
    int led_steps = 0;
    std::set<std::string> leaders_seen;
    for (int step = 0; step < steps; ++step)
    {
        now += milliseconds(random() % 10);
        const std::size_t i = random() % count;
        if (random() % 400 == 0)
            cell[i] = {cell[i].m_name, cell[i].m_incarnation + 1, now, {}, {}};
        else if (random() % 3 == 0)
        {
            // The processes become the main candidate in turn.
            const std::size_t from =
                static_cast<std::size_t>(step / 700 + (random() % 8 == 0)) %
                count;
            cell_process& v = cell[from];
            if (grant_vote(v.m_vote, v.m_name, v.m_incarnation, v.m_started_at,
                           now))
                v.m_votes[v.m_name] = now;
            for (std::size_t to = 0; to < count; ++to)
                if (to != from && random() % 4 != 0)
                    in_transit.push_back({from, to, v.m_incarnation, now,
                                          now + milliseconds(random() % 300),
                                          false});
        }
        for (vote_request& q : in_transit)
        {
            if (now < q.m_due)
                continue;
            cell_process& candidate = cell[q.m_from];
            if (q.m_answered)
            {
                if (candidate.m_incarnation == q.m_incarnation)
                    candidate.m_votes[cell[q.m_to].m_name] = std::max(
                        candidate.m_votes[cell[q.m_to].m_name], q.m_asked_at);
                q.m_due = time_point::max();
                continue;
            }
            cell_process& v = cell[q.m_to];
            q.m_answered = grant_vote(v.m_vote, candidate.m_name,
                                      q.m_incarnation, v.m_started_at, now);
            q.m_due = q.m_answered ? now + milliseconds(random() % 300)
                                   : time_point::max();
        }
        std::erase_if(in_transit,
                      [](const vote_request& q)
                      {
                          return q.m_due == time_point::max();
                      });
        int leaders = 0;
        for (const cell_process& v : cell)
            if (now < majority_expiry(v.m_votes, members))
            {
                ++leaders;
                leaders_seen.insert(v.m_name);
            }
        led_steps += leaders;
        REQUIRE(leaders <= 1);
    }
    REQUIRE(led_steps > steps / 10);
    REQUIRE(leaders_seen.size() > 1);
}
