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

bool observe(group_view& g, std::string_view id, const endpoint_status& status,
             time_point at)
{
    return record_status(g, id, status, at, at);
}

}

SCENARIO("A process reads from a group whose primary may be replaced")
{
    constexpr time_point start{std::chrono::hours(1)};
    group_view g;
    g.m_sync_replicas = 1;

    GIVEN("a status of the primary and of no other endpoint")
    {
        REQUIRE(observe(g, "a", leads(3, 10), start));
        REQUIRE(g.m_primary == "a");

        THEN("it proves no lease, because a later primary may exist")
        {
            REQUIRE_FALSE(may_read_primary(g, start, {}));
            REQUIRE_FALSE(staleness_floor(g, start, seconds(2)));
            REQUIRE(needs_status(g, start));
        }
        WHEN("a replica of the same term that isn't paused responds, too")
        {
            observe(g, "b", follows(3, 9), start + milliseconds(5));

            THEN("the lease starts at the earlier of the two requests")
            {
                REQUIRE(g.m_lease_until == start + leader_lease_duration);
                REQUIRE(may_read_primary(g, start + milliseconds(20), {}));
                REQUIRE_FALSE(
                    may_read_primary(g, start + leader_lease_duration, {}));
            }
            THEN("a read with a staleness bound may run that much later")
            {
                REQUIRE(may_read_primary(g, start + leader_lease_duration,
                                         seconds(1)));
                REQUIRE_FALSE(may_read_primary(
                    g, start + leader_lease_duration + seconds(1), seconds(1)));
            }
        }
        WHEN("the replica is paused for a later term")
        {
            observe(g, "b", follows(3, 9, 4), start);

            THEN("its status proves no lease")
            {
                REQUIRE_FALSE(may_read_primary(g, start, {}));
            }
        }
        WHEN("the primary acknowledges a commit")
        {
            record_commit(g, "a", {3, 11}, start + milliseconds(100));

            THEN("it proves no lease, as any replica may have taken part")
            {
                REQUIRE(g.m_lease_until == time_point{});
            }
            THEN("it shows how far the primary's log reaches")
            {
                REQUIRE(newest_position(g) == log_position{3, 11});
            }
        }
    }
    GIVEN("a primary with a lease in a group of three")
    {
        g.m_member_count = 3;
        observe(g, "a", leads(3, 10), start);
        observe(g, "b", follows(3, 9), start);
        REQUIRE(g.m_lease_until == time_point{});
        observe(g, "c", follows(3, 9), start);
        const time_point until = g.m_lease_until;
        REQUIRE(until == start + leader_lease_duration);

        WHEN("one replica responds again while the lease is in force")
        {
            const time_point later = start + milliseconds(900);
            observe(g, "a", leads(3, 10), later);
            observe(g, "b", follows(3, 9), later);

            THEN("its status renews the lease")
            {
                REQUIRE(g.m_lease_until == later + leader_lease_duration);
            }
        }
        WHEN("a request sent during the lease is answered after its end")
        {
            const time_point asked = until - milliseconds(100);
            observe(g, "a", leads(3, 10), asked);
            record_status(g, "b", follows(3, 9), asked,
                          until + milliseconds(1));

            THEN("a pause may have ended before the response: no lease")
            {
                REQUIRE(g.m_lease_until == until);
            }
        }
        WHEN("all replicas respond a lease duration after the requests")
        {
            const time_point later = until + seconds(1);
            observe(g, "a", leads(3, 10), later);
            record_status(g, "b", follows(3, 9), later,
                          later + leader_lease_duration);
            record_status(g, "c", follows(3, 9), later,
                          later + leader_lease_duration);

            THEN("they may have been paused for a promotion since: no lease")
            {
                REQUIRE(g.m_lease_until == until);
            }
        }
        WHEN("a replica was paused, and the pause and the lease have ended")
        {
            observe(g, "b", follows(3, 9, 4), start + milliseconds(900));
            const time_point later = until + milliseconds(300);
            observe(g, "a", leads(3, 10), later);
            observe(g, "b", follows(3, 9), later);

            THEN("the third endpoint may have been promoted: no lease")
            {
                REQUIRE(g.m_lease_until == until);
            }
            THEN("a lease is proven once all members confirm the old term")
            {
                observe(g, "c", follows(3, 9), later);
                REQUIRE(g.m_lease_until == later + leader_lease_duration);
            }
            THEN("a commit doesn't prove one: a replica that has just joined "
                 "may have taken part")
            {
                record_commit(g, "a", {3, 11}, later);
                REQUIRE(g.m_lease_until == until);
            }
        }
        WHEN("no endpoint was observed for the duration of a pause")
        {
            const time_point later = until + leader_lease_duration;
            observe(g, "a", leads(3, 10), later);
            observe(g, "b", follows(3, 9), later);

            THEN("the status of one replica doesn't prove a lease at once")
            {
                REQUIRE(g.m_lease_until == until);
            }
            THEN("it does after the replica has followed for a while")
            {
                const time_point trusted = later + min_following_time;
                observe(g, "a", leads(3, 10), trusted);
                observe(g, "b", follows(3, 9), trusted);
                REQUIRE(g.m_lease_until == trusted + leader_lease_duration);
            }
        }
    }
    GIVEN("a primary with a lease and several position samples")
    {
        observe(g, "a", leads(3, 10), start);
        observe(g, "b", follows(3, 9), start);
        record_position(g, "a", {3, 20}, start + milliseconds(400));
        record_position(g, "a", {3, 30}, start + milliseconds(800));

        THEN("a read requires the oldest sample that is recent enough")
        {
            const time_point now = start + milliseconds(1000);
            REQUIRE(staleness_floor(g, now, seconds(2)) == log_position{3, 10});
            REQUIRE(staleness_floor(g, now, milliseconds(700)) ==
                    log_position{3, 20});
            REQUIRE_FALSE(staleness_floor(g, now, milliseconds(100)));
        }
        THEN("a session's own commits raise the required position")
        {
            const log_position floor{3, 10};
            REQUIRE(session_floor(g, floor, log_position{3, 25}) ==
                    log_position{3, 25});
            REQUIRE(session_floor(g, floor, log_position{3, 5}) == floor);
        }
        THEN("samples taken after the lease aren't used")
        {
            record_position(g, "a", {3, 40},
                            start + leader_lease_duration + seconds(1));
            REQUIRE_FALSE(
                staleness_floor(g, start + leader_lease_duration + seconds(2),
                                milliseconds(1100)));
        }
        WHEN("another endpoint reports a later term")
        {
            REQUIRE(observe(g, "b", leads(4, 28), start + seconds(1)));

            THEN("nothing from the old term is used")
            {
                REQUIRE(g.m_primary == "b");
                REQUIRE_FALSE(may_read_primary(g, start, {}));
                REQUIRE_FALSE(
                    staleness_floor(g, start + seconds(1), seconds(2)));
            }
            THEN("the old primary's responses are ignored")
            {
                REQUIRE_FALSE(
                    observe(g, "a", leads(3, 50), start + seconds(1)));
                record_commit(g, "a", {3, 50}, start + seconds(1));
                REQUIRE(g.m_primary == "b");
                REQUIRE(g.m_lease_until == time_point{});
            }
            THEN("the position of a rolled-back commit isn't required")
            {
                observe(g, "c", follows(4, 28), start + seconds(1));
                const auto floor =
                    staleness_floor(g, start + seconds(1), seconds(2));
                REQUIRE(session_floor(g, floor, log_position{3, 99}) ==
                        log_position{4, 28});
            }
        }
        WHEN("the primary reports that it no longer leads")
        {
            REQUIRE(observe(g, "a", follows(3, 31), start + seconds(1)));

            THEN("no primary is known")
            {
                REQUIRE(g.m_primary.empty());
                REQUIRE_FALSE(may_read_primary(g, start, {}));
                REQUIRE(needs_status(g, start + seconds(1)));
            }
        }
        WHEN("the response to an earlier request arrives late")
        {
            observe(g, "b", follows(3, 9, 4), start - milliseconds(1));

            THEN("it is ignored")
            {
                REQUIRE(g.m_observations.at("b").m_status.m_paused_term == 0);
            }
        }
    }
    GIVEN("a group without synchronous replicas")
    {
        g.m_sync_replicas = 0;
        observe(g, "a", leads(1, 1), start);

        THEN("the primary's status proves the lease, because a promotion needs "
             "every log")
        {
            REQUIRE(may_read_primary(g, start, {}));
        }
    }
}

// Guards against an acknowledgement that is passed on though another endpoint,
// without the commit, may have been promoted before it came.
SCENARIO("An acknowledgement of a commit arrives")
{
    constexpr time_point start{std::chrono::hours(1)};
    constexpr log_position committed{3, 11};
    group_view g;
    g.m_sync_replicas = 1;
    observe(g, "a", leads(3, 10), start);

    GIVEN("a primary that no replica has confirmed")
    {
        THEN("the commit isn't proved, also not by itself")
        {
            record_commit(g, "a", committed, start);
            REQUIRE_FALSE(is_commit_proved(g, committed, start));
        }
    }
    GIVEN("a failover after the lease of the term before")
    {
        constexpr log_position next{4, 11};
        observe(g, "b", follows(3, 9), start);
        const time_point ended = g.m_lease_until;
        const time_point seen = ended + seconds(1);

        WHEN("the new term is seen shortly after")
        {
            observe(g, "b", leads(4, 10), seen);

            THEN("its commits are proved for as long as a lease would last")
            {
                const time_point last = seen + leader_lease_duration;
                REQUIRE(is_commit_proved(g, next, last - milliseconds(1)));
                REQUIRE_FALSE(is_commit_proved(g, next, last));
                REQUIRE(g.m_lease_until == time_point{});
            }
            THEN("they aren't again when its primary returns to the list")
            {
                const time_point later = seen + leader_lease_duration;
                forget_endpoint(g, "b", later);
                observe(g, "b", leads(4, 11), later);
                REQUIRE_FALSE(is_commit_proved(g, next, later));
            }
        }
        WHEN("the new term is seen late")
        {
            const time_point late = ended + max_lease_gap;
            observe(g, "b", leads(4, 10), late);

            THEN("it may be about to end: its commits need a lease")
            {
                REQUIRE_FALSE(is_commit_proved(g, next, late));
            }
        }
    }
    GIVEN("a primary with a lease")
    {
        observe(g, "b", follows(3, 9), start);
        const time_point last = g.m_lease_until - milliseconds(1);

        THEN("the commit is proved until the lease ends")
        {
            REQUIRE(is_commit_proved(g, committed, last));
            REQUIRE_FALSE(is_commit_proved(g, committed, g.m_lease_until));
        }
        THEN("a commit of another term, or without a position, isn't")
        {
            REQUIRE_FALSE(is_commit_proved(g, log_position{2, 11}, last));
            REQUIRE_FALSE(is_commit_proved(g, log_position{4, 11}, last));
            REQUIRE_FALSE(is_commit_proved(g, std::nullopt, last));
        }
        WHEN("the primary leaves the list or is found not to lead")
        {
            forget_endpoint(g, "a", start);

            THEN("the lease still counts for its term")
            {
                REQUIRE(is_commit_proved(g, committed, last));
            }
        }
        WHEN("another endpoint leads the next term")
        {
            observe(g, "b", leads(4, 10), start + seconds(1));

            THEN("the commit isn't proved")
            {
                REQUIRE_FALSE(is_commit_proved(g, committed, last));
            }
        }
    }
}

// Guards against a lease that is proved by a replica which a failover in
// progress neither counts nor fences, since it was listed after its beginning.
SCENARIO("The replicas of a group are replaced one after the other")
{
    constexpr time_point start{std::chrono::hours(1)};
    group_view g;
    g.m_sync_replicas = 1;
    const auto answer = [&](std::string_view id, time_point at)
    {
        observe(g, id, id == "a" ? leads(3, 10) : follows(3, 10), at);
    };
    g.m_member_count = 2;
    answer("a", start);
    answer("b", start);
    const time_point until = g.m_lease_until;
    REQUIRE(until == start + leader_lease_duration);

    GIVEN("a replica that was listed later")
    {
        const time_point joined = start + milliseconds(200);
        g.m_member_count = 3;
        record_listed(g, "c", joined);

        WHEN("it answers under the lease")
        {
            answer("a", start + seconds(1));
            answer("c", start + seconds(1));

            THEN("it doesn't renew it")
            {
                REQUIRE(g.m_lease_until == until);
            }
        }
        WHEN("the other replica drains, and answers as before")
        {
            time_point now = start;
            while (now < joined + member_settling_time)
            {
                now += milliseconds(900);
                answer("a", now);
                answer("b", now);
                answer("c", now);
            }
            REQUIRE(g.m_lease_until == now + leader_lease_duration);

            THEN("the new one renews the lease once the other one has left")
            {
                forget_endpoint(g, "b", now);
                record_unlisted(g, "b");
                now += milliseconds(900);
                answer("a", now);
                answer("c", now);
                REQUIRE(g.m_lease_until == now + leader_lease_duration);
            }
            THEN("the one that has left proves none by a late answer")
            {
                forget_endpoint(g, "b", now);
                record_unlisted(g, "b");
                const time_point late = now + milliseconds(900);
                answer("a", late);
                answer("b", late);
                REQUIRE(g.m_lease_until == now + leader_lease_duration);
            }
            THEN("it begins anew when it starts again under its id")
            {
                forget_endpoint(g, "c", now);
                record_listed(g, "c", now);
                forget_endpoint(g, "b", now);
                record_unlisted(g, "b");
                const time_point later = now + milliseconds(900);
                answer("a", later);
                answer("c", later);
                REQUIRE(g.m_lease_until == now + leader_lease_duration);
            }
        }
        WHEN("nothing else is left after the lease")
        {
            forget_endpoint(g, "b", start);
            record_unlisted(g, "b");
            g.m_member_count = 2;
            const time_point settled = joined + member_settling_time;
            time_point now = settled - milliseconds(1);
            answer("a", now);
            answer("c", now);

            THEN("it proves one when it is asked member_settling_time after "
                 "it was listed")
            {
                REQUIRE(g.m_lease_until == until);
                answer("a", settled);
                answer("c", settled);
                REQUIRE(g.m_lease_until == settled + leader_lease_duration);
            }
        }
    }
}

SCENARIO("Replicas of a group are found paused")
{
    constexpr time_point start{std::chrono::hours(1)};
    group_view g;
    observe(g, "a", leads(3, 10), start);
    observe(g, "b", follows(3, 10), start);
    observe(g, "c", follows(3, 9, 4), start);
    REQUIRE(paused_replicas(g) == std::vector<std::string>{"c"});

    WHEN("the paused one has been resumed")
    {
        observe(g, "c", follows(3, 10), start + seconds(1));
        REQUIRE(paused_replicas(g).empty());
    }
}
