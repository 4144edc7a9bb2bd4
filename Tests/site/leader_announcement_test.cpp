#include <csignal>
#include <optional>
#include <string>

#include <catch2/catch.hpp>
#include <decide/cell_vote.hpp>
#include <support/scripted_voter.hpp>
#include <support/site.hpp>

using namespace bluebellspoke;
using namespace bluebellspoke::support;

namespace
{

// The daemon and the voter are the members of one cell of a large fleet.
void add_cell(const site& s, const scripted_voter& voter, double cores = 1)
{
    s.add_member("voter", voter.local(), "zone-1", cores);
    for (std::size_t i = 2; i < min_processes_for_cells; ++i)
        s.add_member("absent-" + std::to_string(i), {"127.0.0.1", 1},
                     "zone-far");
}

bool leads(const site& s)
{
    return s.metric(0, "cell_kept") == 1;
}

}

// Guards against a leader whose members learn of it only by its next regular
// vote request, and wait for tokens until then.
SCENARIO("A process names itself the leader as soon as it is elected")
{
    site s(1);
    scripted_voter voter("voter");
    add_cell(s, voter);
    REQUIRE(comes_true(
        [&]
        {
            return s.metric(0, "fleet_members") == min_processes_for_cells;
        }));

    GIVEN("a candidate that is elected")
    {
        THEN("its next vote request, which says so, comes before the regular "
             "one")
        {
            // No timer is early, so one short time is enough; on a busy machine
            // an election may be late.
            constexpr int elections = 3;
            std::optional<std::chrono::milliseconds> delay;
            for (int i = 0; i < elections; ++i)
            {
                voter.set_granting(true);
                REQUIRE(comes_true(
                    [&]
                    {
                        return leads(s) && voter.announcement_delay();
                    }));
                delay = voter.announcement_delay();
                if (*delay < vote_request_interval)
                    break;
                voter.set_granting(false);
                REQUIRE(comes_true(
                    [&]
                    {
                        return voter.is_asked_by_candidate();
                    }));
            }
            REQUIRE(delay);
            CHECK(*delay < vote_request_interval);
        }
    }
}

// Guards against a zone that stays without a leader, and so without tokens, for
// a second after a restart of all its processes, and against a vote that is
// granted too early.
SCENARIO("All processes of a zone restart at once")
{
    constexpr std::uint64_t incarnation = 9;
    constexpr double no_cores = 0; // The daemon ranks above the voter.
    site s(1);
    scripted_voter voter("voter");
    add_cell(s, voter, no_cores);
    REQUIRE(comes_true(
        [&]
        {
            return s.metric(0, "fleet_members") == min_processes_for_cells;
        }));
    s.daemon(0).send_signal(SIGKILL);
    s.daemon(0).wait();
    const auto is_asked = [&]
    {
        return comes_true(
            [&]
            {
                return voter.confirmed_incarnation().has_value();
            });
    };

    WHEN("each says that it hasn't asked for votes")
    {
        voter.set_restart(incarnation, true);
        s.start_daemon(0);

        THEN("the first in rank asks for votes without waiting")
        {
            REQUIRE(is_asked());
            CHECK(voter.confirmed_incarnation() == incarnation);
        }
    }
    WHEN("one of them has asked for votes")
    {
        voter.set_restart(incarnation, false);
        s.start_daemon(0);

        THEN("earlier votes are given the time to lapse")
        {
            REQUIRE(is_asked());
            CHECK(voter.confirmed_incarnation() == 0);
        }
    }
    WHEN("one of them is of an earlier build")
    {
        voter.set_restart(0, true);
        s.start_daemon(0);

        THEN("earlier votes are given the time to lapse")
        {
            REQUIRE(is_asked());
            CHECK(voter.confirmed_incarnation() == 0);
        }
    }
}
