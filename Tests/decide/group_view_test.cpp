#include <catch2/catch.hpp>
#include <decide/group_view.hpp>

using namespace bluebellspoke;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

endpoint_status leads(term_number term, std::uint64_t offset)
{
    return {endpoint_role::primary, term, {term, offset}, 0, 0, 0, 0};
}

endpoint_status follows(term_number term, std::uint64_t offset,
                        term_number held = 0)
{
    return {endpoint_role::replica, term, {term, offset}, held, 0, 0, 0};
}

bool see(group_view& g, std::string_view id, const endpoint_status& status,
         time_point at)
{
    return note_status(g, id, status, at, at);
}

}

SCENARIO("A process reads from a group whose primary may be replaced")
{
    constexpr time_point start{std::chrono::hours(1)};
    group_view g;
    g.m_sync_replicas = 1;

    GIVEN("a primary that says it leads, and nobody else")
    {
        REQUIRE(see(g, "a", leads(3, 10), start));
        REQUIRE(g.m_primary == "a");

        THEN("that proves no lease: a promotion may have passed it by")
        {
            REQUIRE_FALSE(may_read_primary(g, start, {}));
            REQUIRE_FALSE(staleness_floor(g, start, seconds(2)));
            REQUIRE(needs_status(g, start));
        }
        WHEN("a replica of its term, paused for no other, was asked too")
        {
            see(g, "b", follows(3, 9), start + milliseconds(5));

            THEN("the lease counts from the earlier of the two questions")
            {
                REQUIRE(g.m_lease_until == start + lease_time);
                REQUIRE(may_read_primary(g, start + milliseconds(20), {}));
                REQUIRE_FALSE(may_read_primary(g, start + lease_time, {}));
            }
            THEN("a read that may be stale goes by its own bound")
            {
                REQUIRE(may_read_primary(g, start + lease_time, seconds(1)));
                REQUIRE_FALSE(may_read_primary(
                    g, start + lease_time + seconds(1), seconds(1)));
            }
        }
        WHEN("the replica is paused for a later term")
        {
            see(g, "b", follows(3, 9, 4), start);

            THEN("it proves nothing")
            {
                REQUIRE_FALSE(may_read_primary(g, start, {}));
            }
        }
        WHEN("it acknowledges a commit")
        {
            note_commit(g, "a", {3, 11}, start + milliseconds(100));

            THEN("a replica took part, so the lease holds from then")
            {
                REQUIRE(g.m_lease_until ==
                        start + milliseconds(100) + lease_time);
            }
        }
    }
    GIVEN("a proved primary of a group of three")
    {
        g.m_members = 3;
        see(g, "a", leads(3, 10), start);
        see(g, "b", follows(3, 9), start);
        REQUIRE(g.m_lease_until == time_point{});
        see(g, "c", follows(3, 9), start);
        const time_point until = g.m_lease_until;
        REQUIRE(until == start + lease_time);

        WHEN("one replica is asked again while the lease is in force")
        {
            const time_point later = start + milliseconds(900);
            see(g, "a", leads(3, 10), later);
            see(g, "b", follows(3, 9), later);

            THEN("its word is enough")
            {
                REQUIRE(g.m_lease_until == later + lease_time);
            }
        }
        WHEN("a replica asked under the lease answers after its end")
        {
            const time_point asked = until - milliseconds(100);
            see(g, "a", leads(3, 10), asked);
            note_status(g, "b", follows(3, 9), asked, until + milliseconds(1));

            THEN("its pause may be over already: no lease")
            {
                REQUIRE(g.m_lease_until == until);
            }
        }
        WHEN("all are asked at once, and replicas answer a lease's time later")
        {
            const time_point later = until + seconds(1);
            see(g, "a", leads(3, 10), later);
            note_status(g, "b", follows(3, 9), later, later + lease_time);
            note_status(g, "c", follows(3, 9), later, later + lease_time);

            THEN("they may have been paused and passed over since: no lease")
            {
                REQUIRE(g.m_lease_until == until);
            }
        }
        WHEN("it was paused, and its pause is over with the lease")
        {
            see(g, "b", follows(3, 9, 4), start + milliseconds(900));
            const time_point later = until + milliseconds(300);
            see(g, "a", leads(3, 10), later);
            see(g, "b", follows(3, 9), later);

            THEN("the third may have been promoted: no lease")
            {
                REQUIRE(g.m_lease_until == until);
            }
            THEN("a lease is proved once all members go on in the old term")
            {
                see(g, "c", follows(3, 9), later);
                REQUIRE(g.m_lease_until == later + lease_time);
            }
            THEN("a commit proves that the old primary still has a replica")
            {
                note_commit(g, "a", {3, 11}, later);
                REQUIRE(g.m_lease_until == later + lease_time);
            }
        }
        WHEN("nobody could be asked for as long as a pause lasts")
        {
            const time_point later = until + lease_time;
            see(g, "a", leads(3, 10), later);
            see(g, "b", follows(3, 9), later);

            THEN("a replica without a pause proves nothing at once")
            {
                REQUIRE(g.m_lease_until == until);
            }
            THEN("it does once it has followed on for a while")
            {
                const time_point trusted = later + trust_time;
                see(g, "a", leads(3, 10), trusted);
                see(g, "b", follows(3, 9), trusted);
                REQUIRE(g.m_lease_until == trusted + lease_time);
            }
        }
    }
    GIVEN("a proved primary, sampled now and then")
    {
        see(g, "a", leads(3, 10), start);
        see(g, "b", follows(3, 9), start);
        note_position(g, "a", {3, 20}, start + milliseconds(400));
        note_position(g, "a", {3, 30}, start + milliseconds(800));

        THEN("a read asks for the oldest sample that is young enough")
        {
            const time_point now = start + milliseconds(1000);
            REQUIRE(staleness_floor(g, now, seconds(2)) == log_position{3, 10});
            REQUIRE(staleness_floor(g, now, milliseconds(700)) ==
                    log_position{3, 20});
            REQUIRE_FALSE(staleness_floor(g, now, milliseconds(100)));
        }
        THEN("its own commits raise what a session asks for")
        {
            const log_position floor{3, 10};
            REQUIRE(session_floor(g, floor, log_position{3, 25}) ==
                    log_position{3, 25});
            REQUIRE(session_floor(g, floor, log_position{3, 5}) == floor);
        }
        THEN("samples beyond the lease are of no use")
        {
            note_position(g, "a", {3, 40}, start + lease_time + seconds(1));
            REQUIRE_FALSE(staleness_floor(g, start + lease_time + seconds(2),
                                          milliseconds(1100)));
        }
        WHEN("a later term is seen at another endpoint")
        {
            REQUIRE(see(g, "b", leads(4, 28), start + seconds(1)));

            THEN("nothing of the old term is used any more")
            {
                REQUIRE(g.m_primary == "b");
                REQUIRE_FALSE(may_read_primary(g, start, {}));
                REQUIRE_FALSE(
                    staleness_floor(g, start + seconds(1), seconds(2)));
            }
            THEN("the old primary's answers change nothing")
            {
                REQUIRE_FALSE(see(g, "a", leads(3, 50), start + seconds(1)));
                note_commit(g, "a", {3, 50}, start + seconds(1));
                REQUIRE(g.m_primary == "b");
                REQUIRE(g.m_lease_until == time_point{});
            }
            THEN("a commit that was rolled back is asked of no log")
            {
                see(g, "c", follows(4, 28), start + seconds(1));
                const auto floor =
                    staleness_floor(g, start + seconds(1), seconds(2));
                REQUIRE(session_floor(g, floor, log_position{3, 99}) ==
                        log_position{4, 28});
            }
        }
        WHEN("the primary says that it leads no more")
        {
            REQUIRE(see(g, "a", follows(3, 31), start + seconds(1)));

            THEN("nobody is known to lead")
            {
                REQUIRE(g.m_primary.empty());
                REQUIRE_FALSE(may_read_primary(g, start, {}));
                REQUIRE(needs_status(g, start + seconds(1)));
            }
        }
        WHEN("an answer arrives that was asked for before the last")
        {
            see(g, "b", follows(3, 9, 4), start - milliseconds(1));

            THEN("it is too old to say anything")
            {
                REQUIRE(g.m_sights.at("b").m_status.m_held == 0);
            }
        }
    }
    GIVEN("a group without synchronous replicas")
    {
        g.m_sync_replicas = 0;
        see(g, "a", leads(1, 1), start);

        THEN("the primary's word is a proof: every log is asked before it is "
             "replaced")
        {
            REQUIRE(may_read_primary(g, start, {}));
        }
    }
}
