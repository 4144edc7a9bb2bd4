#include <chrono>
#include <set>
#include <string>

#include <catch2/catch.hpp>
#include <decide/cell_vote.hpp>
#include <decide/restart_check.hpp>

using namespace bluebellspoke;
using namespace std::chrono_literals;

namespace
{

const std::set<std::string, std::less<>> zone{"a", "b", "c"};

restart_finding say(restart_check& c, const std::string& member,
                    std::uint64_t incarnation)
{
    return record_statement(c, member, {incarnation, true, true});
}

}

// Guards against two cell leaders of one zone: a vote that a process gave
// before its restart may still count for another one.
SCENARIO("All processes of a zone have restarted")
{
    const time_point start{1h};
    restart_check c;
    begin_first_round(c, zone, start);

    GIVEN("two rounds in which each member says that it holds no vote")
    {
        CHECK(say(c, "a", 1) == restart_finding::incomplete);
        CHECK(say(c, "b", 2) == restart_finding::incomplete);
        REQUIRE(say(c, "c", 3) == restart_finding::complete);
        CHECK(confirmed_incarnation(c, "a") == 0);
        begin_second_round(c, start + 2ms);
        CHECK(say(c, "c", 3) == restart_finding::incomplete);
        CHECK(say(c, "a", 1) == restart_finding::incomplete);
        CHECK(confirmed_incarnation(c, "a") == 0);
        REQUIRE(say(c, "b", 2) == restart_finding::complete);

        THEN("each of them is confirmed, and a voter needn't wait")
        {
            CHECK(confirmed_incarnation(c, "a") == 1);
            CHECK(confirmed_incarnation(c, "c") == 3);
            CHECK(confirmed_incarnation(c, "d") == 0);
            cell_vote vote;
            CHECK_FALSE(grant_vote(vote, "a", 1, start, start + 3ms));
            CHECK(grant_vote(vote, "a", 1, start, start + 3ms,
                             vote_hold::waived));
        }
        THEN("a voter still gives one vote only")
        {
            cell_vote vote;
            REQUIRE(grant_vote(vote, "a", 1, start, start + 3ms,
                               vote_hold::waived));
            CHECK_FALSE(grant_vote(vote, "b", 2, start, start + 4ms,
                                   vote_hold::waived));
        }
    }
    GIVEN("a member that restarts between the rounds")
    {
        for (const std::string& name : zone)
            say(c, name, 1);
        begin_second_round(c, start + 2ms);

        THEN("a vote that it gave before may count, so the check has failed")
        {
            CHECK(say(c, "a", 2) == restart_finding::refuted);
        }
    }
    GIVEN("a member that has asked for votes")
    {
        THEN("it may hold some, so the check has failed")
        {
            CHECK(record_statement(c, "a", {1, false, true}) ==
                  restart_finding::refuted);
        }
    }
    GIVEN("a member that has joined")
    {
        THEN("others may not know it, so the check has failed")
        {
            CHECK(record_statement(c, "a", {1, true, false}) ==
                  restart_finding::refuted);
        }
    }
    GIVEN("a first round that was given up")
    {
        say(c, "a", 1);
        say(c, "b", 2);
        begin_first_round(c, zone, start + 300ms);

        THEN("what was said in it doesn't count in the next one")
        {
            CHECK(say(c, "c", 3) == restart_finding::incomplete);
            CHECK(c.m_attempt == 2);
        }
    }
}
